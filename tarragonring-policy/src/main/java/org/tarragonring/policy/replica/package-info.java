/** What is known of each replica: what it holds, what it is loading and whether it may get work. */
package org.tarragonring.policy.replica;
