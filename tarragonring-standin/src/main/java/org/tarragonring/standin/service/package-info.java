/** A stand-in for plain services. */
package org.tarragonring.standin.service;
