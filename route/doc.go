// Package route chooses upstreams: prefix affinity with bounded load, and
// baselines for comparison. Its state is a seeded random source, a turn, and
// counts of popular prefixes; a router belongs to one goroutine.
package route
