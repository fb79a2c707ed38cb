// Package events keeps, merges and prints the time line of the entry hosts.
package events
