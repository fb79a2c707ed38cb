// Package timer implements timer services on system clocks and on a manual clock for tests.
package timer
