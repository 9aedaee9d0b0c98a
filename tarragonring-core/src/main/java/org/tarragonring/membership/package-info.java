/** Group membership and failure detection in the manner of SWIM; the network load per entry is constant. */
package org.tarragonring.membership;
