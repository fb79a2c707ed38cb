// Package route chooses upstreams: prefix affinity with bounded load, and
// baselines for comparison. It keeps no state but a seeded random source.
package route
