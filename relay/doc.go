// Package relay forwards TCP connections to a configurable target and simulates network faults.
package relay
