package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// announceTimeout bounds how long a host waits for its peers to acknowledge an announcement.
	announceTimeout = time.Second
	// answerMargin is the time between the end of the open requests and the close of their connections, in which
	// their answers are written.
	answerMargin = 250 * time.Millisecond
)

type (
	// drainer stops a host without cutting off requests.
	drainer struct {
		callerServer   *http.Server
		callerListener net.Listener
		connections    *drain.Connections
		requests       *drain.Requests
		internalServer *http.Server
		members        *memberTask
		timer          spoke.Timer
		events         spoke.EventSink
		log            logrus.FieldLogger
		delay          time.Duration
		deadline       time.Duration
		draining       atomic.Bool
		// requestsEnd is set once the host no longer listens for callers.
		requestsEnd atomic.Pointer[time.Time]
		begin       chan struct{}
		force       <-chan struct{}
	}
)

// Begin starts the drain; further calls have no effect.
func (d *drainer) Begin() {
	select {
	case d.begin <- struct{}{}:
	default:
	}
}

// run waits for Begin or the end of the context and then drains.
func (d *drainer) run(ctx context.Context) error {
	select {
	case <-d.begin:
	case <-ctx.Done():
	}
	d.drain()
	return nil
}

func (d *drainer) drain() {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.delay+d.deadline)
	defer cancel()
	go func() {
		select {
		case <-d.force:
			d.requests.End()
			timer.Wait(ctx, d.timer, answerMargin)
			cancel()
		case <-ctx.Done():
		}
	}()
	requestsEnd := begun.Add(d.delay + d.deadline - answerMargin)
	end := time.AfterFunc(time.Until(requestsEnd), d.requests.End)
	defer end.Stop()
	d.announce(ctx)
	timer.Wait(ctx, d.timer, d.delay)
	d.requestsEnd.Store(&requestsEnd)
	// The internal listener closes last, because peers still read runs that
	// this host owns.
	d.endShutdown("caller", d.callerServer, d.connections.Shutdown(ctx, d.callerServer, d.callerListener))
	d.endShutdown("internal", d.internalServer, d.internalServer.Shutdown(ctx))
	d.events.Record(spoke.Event{Kind: "drain-finished"})
}

// endOfRequests returns when the open requests end, zero while the host listens for callers.
func (d *drainer) endOfRequests() time.Time {
	if end := d.requestsEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

func (d *drainer) announce(ctx context.Context) {
	d.draining.Store(true)
	d.events.Record(spoke.Event{Kind: "drain-started"})
	d.log.Info("drain started")
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := d.members.Announce(ctx, member.Leave{}); err != nil {
		d.log.WithError(err).Warn("drain not announced to every peer")
	}
}

// withConnectionClose closes each connection with its next response during a drain, so that the
// caller's next request uses a new connection, which the load balancer sends elsewhere. The server
// itself would close idle connections at once, including those on which a request is arriving.
func (d *drainer) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// endShutdown closes a server whose shutdown has failed.
func (d *drainer) endShutdown(name string, server *http.Server, err error) {
	if err == nil {
		return
	}
	d.events.Record(spoke.Event{Kind: "drain-forced", Detail: name + " listener: " + err.Error()})
	d.log.WithError(err).WithField("listener", name).Error("drain forced, open requests are cut off")
	_ = server.Close()
}
