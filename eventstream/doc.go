// Package eventstream splits the bytes of a stream into events and judges the bytes behind them.
package eventstream
