// Package fifo is the baseline of package sched: one queue per upstream in
// order of arrival or of urgency, with a fixed limit and no refusal for overload.
package fifo
