/** The objects that operators publish, checked as one set, and the generation that is in force. */
package org.tarragonring.config;
