/** Clients for the platform's object store and instance list, and the records that this system keeps in the store. */
package org.tarragonring.objects;
