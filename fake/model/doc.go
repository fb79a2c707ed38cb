// Package model is a stand-in of a model engine: an HTTP handler that speaks the engine
// protocol, models the time of prefill and decode, and fails on demand.
package model
