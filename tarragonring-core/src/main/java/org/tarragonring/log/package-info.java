/** Defines the numbered log events of the system and configures their output. */
package org.tarragonring.log;
