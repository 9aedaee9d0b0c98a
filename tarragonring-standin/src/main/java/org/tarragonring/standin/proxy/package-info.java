/** A TCP proxy that simulates network faults between processes. */
package org.tarragonring.standin.proxy;
