// Package fifo implements a simple admission as the baseline for package sched: one queue
// per upstream in order of arrival or of rank, with a fixed concurrency limit and without
// refusals on overload.
package fifo
