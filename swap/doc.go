// Package swap reconciles the weight versions that upstreams report with those of the
// manifest. Orders carry a fencing token, only a few swaps run at a time, and at least half of
// a service's upstreams stay in service. The package does no I/O and reads no clock.
package swap
