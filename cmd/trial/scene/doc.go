// Package scene runs scenario scripts against a set-up of real processes on loopback.
package scene
