// Package fleet starts the processes of a set-up on loopback, connects them through relays
// and injects faults into processes and links.
package fleet
