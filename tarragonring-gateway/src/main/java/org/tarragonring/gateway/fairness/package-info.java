/** Applies the decisions on who is served when capacity is insufficient, and shares with other entries what teams use. */
package org.tarragonring.gateway.fairness;
