/** Forwards calls to replicas and answers to callers. */
package org.tarragonring.gateway.forward;
