/** The upstreams as peers: model engines and plain services. */
package org.tarragonring.upstream;
