/** Tools for operators: object files, publishing and comparing configurations, and the admin HTTP endpoints. */
package org.tarragonring.operator;
