/** Decides where models are loaded, carries loads and unloads out, and finishes what dead entries left. */
package org.tarragonring.placement;
