/** Stand-ins for the platform's Object API and instance list. */
package org.tarragonring.standin.platform;
