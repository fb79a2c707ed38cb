// Package store is a stand-in of a store host of the cache tiers: an HTTP handler with a
// memory and a disk tier, a rate-limited link, pins, and faults on demand.
package store
