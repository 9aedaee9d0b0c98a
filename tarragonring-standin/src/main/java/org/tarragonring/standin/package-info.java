/** Stand-ins for the external systems that entries use: the platform, model engines and plain services. */
package org.tarragonring.standin;
