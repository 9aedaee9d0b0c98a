/** A stand-in for model engines and the weight store behind them. */
package org.tarragonring.standin.engine;
