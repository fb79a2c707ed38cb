// Package heap measures the memory of tests.
package heap
