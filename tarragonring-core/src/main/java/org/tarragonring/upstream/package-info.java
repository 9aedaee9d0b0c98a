/** Communication with upstreams: model engines and the instances of plain services. */
package org.tarragonring.upstream;
