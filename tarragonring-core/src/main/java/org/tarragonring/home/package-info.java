/** Selects the entries that are responsible for models and upstreams. */
package org.tarragonring.home;
