/** The numbered log events of the system. */
package org.tarragonring.log;
