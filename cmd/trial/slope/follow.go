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
	// Each owned engine is asked for its load four times and for cache events twice a second.
	loadsPerSecond  = 4
	eventsPerSecond = 2
	// followedSeconds is how many seconds of polls are made, one after the other.
	followedSeconds = 60
)

// FollowCost returns the processor time in seconds and the bytes that following a
// number of engines costs per second; it includes the engines' side.
func FollowCost(upstreams int) (seconds, bytes float64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	stand := model.New(model.WithModel("model-07", "v1"))
	defer stand.Close()
	traffic := new(atomic.Int64)
	server := &http.Server{Handler: stand, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countingListener{listener, traffic}) }()
	defer server.Close()
	client := engine.New()
	defer client.Close()
	started := ProcessorTime()
	for range followedSeconds * upstreams {
		if err := followSecond(client, spoke.Address(listener.Addr().String())); err != nil {
			return 0, 0, err
		}
	}
	return (ProcessorTime() - started).Seconds() / followedSeconds, float64(traffic.Load()) / followedSeconds, nil
}

func followSecond(client *engine.Client, at spoke.Address) error {
	ctx := context.Background()
	for range loadsPerSecond {
		if _, err := client.Load(ctx, at); err != nil {
			return err
		}
	}
	for range eventsPerSecond {
		if _, err := client.CacheEvents(ctx, at, 0); err != nil {
			return err
		}
	}
	return nil
}
