// Package coord is an HTTP client of the platform's key-value service, with its leases and
// its list of hosts.
package coord
