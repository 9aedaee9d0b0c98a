/** The replicas that this entry knows. */
package org.tarragonring.gateway.catalog;
