// Package engine implements the HTTP client of model engines: runs streamed as server-sent
// events, cancellation, load reports, cache events, block transfer and orders.
package engine
