/** Shares with the other entries which requests make replicas fail, and keeps the quarantined ones in the store. */
package org.tarragonring.gateway.quarantine;
