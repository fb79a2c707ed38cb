// Package check collects findings with their place so that they are reported together.
package check
