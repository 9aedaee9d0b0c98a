/** Decides when a slow call that may be repeated is sent to a second replica as well. */
package org.tarragonring.policy.hedge;
