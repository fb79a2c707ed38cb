// Package cost measures the latency, memory and processor time that an entry host adds to
// a request, and the platform calls that hosts make.
package cost
