// Package swap reconciles the weight versions that upstreams report with those of the
// manifest: fenced orders, a few swaps at a time, most upstreams in service. It is pure.
package swap
