/** Membership of the entries and messages between them. */
package org.tarragonring.gateway.mesh;
