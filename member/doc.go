// Package member keeps track of the entry hosts by heartbeats that spread
// from host to host.
package member
