/** Decides which calls are served first when there is too little room for all. */
package org.tarragonring.policy.fairness;
