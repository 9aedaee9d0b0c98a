/** Stand-ins for model engines and for the weight store from which they load checkpoints. */
package org.tarragonring.standin.engine;
