/** Decides which entries look after which models and upstreams. */
package org.tarragonring.home;
