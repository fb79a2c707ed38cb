// Package route chooses upstreams: prefix affinity with bounded load, and
// baselines for comparison. The state of a router is a seeded random source, a
// round-robin position, or counts of popular prefixes; it is not safe for concurrent use.
package route
