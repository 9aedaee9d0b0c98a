/** Decides where models are loaded, executes loads and unloads, and cleans up after failed entries. */
package org.tarragonring.placement;
