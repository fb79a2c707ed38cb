// Package scene runs scenario scripts against real processes on the loopback interface.
package scene
