/** The replicas known to this entry and what they hold. */
package org.tarragonring.gateway.catalog;
