// Package model is a stand-in for a model engine: an HTTP handler that implements the engine
// protocol, simulates the duration of prefill and decode, and injects faults on request.
package model
