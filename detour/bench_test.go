package detour_test

import (
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/detour"
)

const (
	// A typical call has a prompt of some kilobytes and an answer of some tens of events.
	requestBytes = 4 << 10
	eventBytes   = 200
	eventsPerRun = 55
)

// BenchmarkRoundTrip compares a round trip of a small request with and without a detour.
func BenchmarkRoundTrip(b *testing.B) {
	for _, name := range []string{"direct", "detour"} {
		b.Run(name, func(b *testing.B) {
			conn, upstream := openBench(b, name == "detour")
			go func() { _, _ = io.Copy(upstream, upstream) }()
			buffer := make([]byte, eventBytes)
			b.SetBytes(2 * eventBytes)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(buffer); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStream measures a call with a stream of events, each of which is awaited, over an open connection. The processor
// time is that of the caller's host, the relaying host and the upstream together; the difference between the two is the
// cost of the detour at both hosts.
func BenchmarkStream(b *testing.B) {
	for _, name := range []string{"direct", "detour"} {
		b.Run(name, func(b *testing.B) {
			conn, upstream := openBench(b, name == "detour")
			next := make(chan struct{})
			defer close(next)
			go answerWithEvents(upstream, next)
			request, event := make([]byte, requestBytes), make([]byte, eventBytes)
			b.ReportAllocs()
			began := processorTime(b)
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				for range eventsPerRun {
					next <- struct{}{}
					if _, err := io.ReadFull(conn, event); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// answerWithEvents answers each request with a stream, and sends an event each time that it is told to.
func answerWithEvents(conn net.Conn, next <-chan struct{}) {
	request, event := make([]byte, requestBytes), make([]byte, eventBytes)
	for {
		if _, err := io.ReadFull(conn, request); err != nil {
			return
		}
		for range eventsPerRun {
			if _, ok := <-next; !ok {
				return
			}
			if _, err := conn.Write(event); err != nil {
				return
			}
		}
	}
}

// BenchmarkOpen measures the making of a connection and its end.
func BenchmarkOpen(b *testing.B) {
	s := newSetup(b)
	b.ReportAllocs()
	for b.Loop() {
		conn, err := s.dialer.Dial(b.Context(), s.via, upstreamID)
		if err != nil {
			b.Fatal(err)
		}
		upstream, err := s.listener.Accept()
		if err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
		_ = upstream.Close()
	}
}

// BenchmarkMemory measures the memory of open tunnels, for both hosts together and without the buffers of the system; each
// run opens one.
func BenchmarkMemory(b *testing.B) {
	s := newSetup(b)
	before := memory()
	for range b.N {
		s.open(b)
	}
	b.ReportMetric(float64(memory()-before)/float64(b.N), "B/tunnel")
}

func memory() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func openBench(b *testing.B, isDetour bool) (net.Conn, net.Conn) {
	s := newSetup(b, detour.WithLimit(1))
	if isDetour {
		conn, upstream := s.open(b)
		assert.NilError(b, upstream.SetReadDeadline(time.Time{}))
		return conn, upstream
	}
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	upstream := accept(b, s.listener)
	assert.NilError(b, upstream.SetReadDeadline(time.Time{}))
	return conn, upstream
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
