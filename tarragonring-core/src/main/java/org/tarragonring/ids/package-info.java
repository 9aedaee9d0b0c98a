/** Value types for the identifiers and addresses of the system. */
package org.tarragonring.ids;
