package events_test

import (
	"testing"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/timer"
)

// BenchmarkRecord measures the time and allocations of recording an event from concurrent goroutines.
func BenchmarkRecord(b *testing.B) {
	host := events.NewRecorder("a", timer.NewSystem(), 8192)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			host.Record(spoke.Event{Kind: "step", Request: "r-1"})
		}
	})
}
