/** Bounds how often calls are sent again. */
package org.tarragonring.policy.budget;
