/** The messages between entries, their wire format and their transport. */
package org.tarragonring.peer;
