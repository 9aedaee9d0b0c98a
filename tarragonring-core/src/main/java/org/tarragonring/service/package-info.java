/** The life cycle of services. */
package org.tarragonring.service;
