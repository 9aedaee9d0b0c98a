/** The serving configuration: routes, services and the models that services can load. */
package org.tarragonring.policy.config;
