/** Small stand-ins for what the system meets: the platform, model engines and plain services. */
package org.tarragonring.standin;
