// Package plain is a stand-in for a plain HTTP service. It answers any path with a
// JSON body, reports its runs at GET /runs, and accepts faults at POST /faults.
package plain
