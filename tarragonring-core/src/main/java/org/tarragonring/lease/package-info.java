/** The lease that an entry holds, and the observation of the leases of other entries. */
package org.tarragonring.lease;
