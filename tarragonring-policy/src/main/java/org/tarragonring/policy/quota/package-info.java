/** Limits how much each team may use, over all entries together. */
package org.tarragonring.policy.quota;
