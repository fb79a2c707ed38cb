// Package cost measures what an entry host adds to a request: time, memory and
// processor time.
package cost
