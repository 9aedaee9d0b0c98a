/** Value types for the identifiers that the system handles. */
package org.tarragonring.ids;
