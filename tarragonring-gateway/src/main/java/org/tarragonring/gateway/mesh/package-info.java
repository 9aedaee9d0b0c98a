/** Messages between entries and who is a member. */
package org.tarragonring.gateway.mesh;
