/** A TCP proxy that brings about network faults between real processes. */
package org.tarragonring.standin.proxy;
