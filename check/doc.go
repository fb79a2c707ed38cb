// Package check collects the faults of an input with their places, to report them together.
package check
