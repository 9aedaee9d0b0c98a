/** Serves calls: takes them from callers, waits for models, forwards them to replicas, and acts with other entries. */
package org.tarragonring.gateway;
