// Package split splits the bytes of a stream into events and judges the bytes behind them.
package split
