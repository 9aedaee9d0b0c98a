/** The configuration that calls are served by: routes, services and the models of their engines. */
package org.tarragonring.policy.config;
