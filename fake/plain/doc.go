// Package plain is a stand-in of a plain service. It answers any path with a
// JSON body, counts its runs at GET /runs, and takes faults at POST /faults.
package plain
