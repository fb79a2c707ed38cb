// Package route chooses upstreams: prefix affinity with bounded load, and
// baselines for comparison. Routers keep state, such as a seeded random source, a
// round-robin position or prefix counts, and are not safe for concurrent use.
package route
