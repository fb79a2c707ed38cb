package slope

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/engine"
	"magnoliaspoke.example/spoke/fake/model"
)

const (
	// A host polls each engine that it owns four times a second for its load and twice a second for cache events.
	loadPollsPerSecond  = 4
	eventPollsPerSecond = 2
	// polledSeconds is the simulated time in seconds; the polls run back to back.
	polledSeconds = 60
)

// PollingCost returns the processor time in seconds and the traffic in bytes, both per second, of
// polling a number of engines. The processor time includes that of the engine stand-in.
func PollingCost(upstreams int) (seconds, bytes float64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	standin := model.New(model.WithModel("model-07", "v1"))
	defer standin.Close()
	traffic := new(atomic.Int64)
	server := &http.Server{Handler: standin, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countingListener{listener, traffic}) }()
	defer server.Close()
	client := engine.New()
	defer client.Close()
	started := ProcessorTime()
	for range polledSeconds * upstreams {
		if err := pollOneSecond(client, spoke.Address(listener.Addr().String())); err != nil {
			return 0, 0, err
		}
	}
	return (ProcessorTime() - started).Seconds() / polledSeconds, float64(traffic.Load()) / polledSeconds, nil
}

func pollOneSecond(client *engine.Client, address spoke.Address) error {
	ctx := context.Background()
	for range loadPollsPerSecond {
		if _, err := client.Load(ctx, address); err != nil {
			return err
		}
	}
	for range eventPollsPerSecond {
		if _, err := client.CacheEvents(ctx, address, 0); err != nil {
			return err
		}
	}
	return nil
}
