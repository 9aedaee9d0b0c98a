/** The configuration: the objects that operators publish, their validation as one set, and the active generation. */
package org.tarragonring.config;
