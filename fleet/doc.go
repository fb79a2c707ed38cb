// Package fleet starts the processes of a set-up on loopback, connects them through relays
// and makes them fail on demand.
package fleet
