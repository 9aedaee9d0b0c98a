/** The one lease that an entry holds, and the observation of other entries' leases. */
package org.tarragonring.lease;
