/** One entry: everything put together, started and stopped. */
package org.tarragonring.entry;
