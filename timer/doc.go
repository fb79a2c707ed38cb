// Package timer implements the timer service for the system clock and for tests.
package timer
