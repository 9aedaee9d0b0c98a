/** The platform as a peer: its Object API, its instance list, and the records that this system keeps there. */
package org.tarragonring.objects;
