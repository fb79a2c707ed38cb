// Package store is a stand-in for a store host of cached blocks: an HTTP handler with a memory
// tier, a disk tier, a rate-limited link, pins, and faults that are injected on request.
package store
