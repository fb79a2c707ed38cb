// Package heap measures the heap size during tests.
package heap
