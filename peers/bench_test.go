package peers_test

import (
	"testing"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/peers"
)

// busyAccount is an account of a host of a large fleet under load.
func busyAccount() spoke.HostReport {
	share := spoke.HostReport{Host: "frontend-sector-10-17", Sequence: 4711, Directory: spoke.DirectoryView{Revision: 9, Age: time.Second}}
	for range 3 {
		share.Upstreams = append(share.Upstreams, spoke.HostUpstreamLoad{Upstream: "i-5fc1d1dc2d", Prefill: 4000, Memory: 30000, Runs: 4})
		share.Placed = append(share.Placed, spoke.PlacedPrompt{Upstream: "i-5fc1d1dc2d", Prefixes: []spoke.PromptPrefix{
			{Key: 1 << 63, Part: 2000, Total: 2000}, {Key: 1 << 62, Part: 5000, Total: 7000}, {Key: 1<<62 + 3, Part: 1000, Total: 8000},
		}})
		share.Slowness = append(share.Slowness, spoke.UpstreamSlowness{Upstream: "i-5fc1d1dc2d", Slowness: 1.2, Age: 50 * time.Millisecond})
	}
	return share
}

func BenchmarkEncode(b *testing.B) {
	now := time.Now()
	for b.Loop() {
		if _, err := peers.Encode(busyAccount(), now); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	now := time.Now()
	raw, err := peers.Encode(busyAccount(), now)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "bytes")
	for b.Loop() {
		if _, err := peers.Decode(raw, now); err != nil {
			b.Fatal(err)
		}
	}
}
