package host

import (
	"context"
	"net/http"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
)

// peerAPI implements the API for other entry hosts.
type peerAPI struct{ host *Host }

// Heartbeat merges a heartbeat of another host and returns the reply.
func (p peerAPI) Heartbeat(ctx context.Context, heartbeat member.Heartbeat) (member.Heartbeat, error) {
	return p.host.members.Heartbeat(ctx, heartbeat)
}

// Update returns the encoded update that follows a ticket number, nil before the
// first configuration.
func (p peerAPI) Update(ctx context.Context, after spoke.TicketNumber) ([]byte, error) {
	return p.host.manifest.UpdateSince(ctx, after)
}

// TakeUpdate decodes and queues an update that another host has pushed.
func (p peerAPI) TakeUpdate(ctx context.Context, from spoke.HostID, update []byte) error {
	return p.host.manifest.TakeUpdate(ctx, from, update)
}

// Run starts an attempt at an upstream that the host owns.
func (p peerAPI) Run(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	return p.host.owner.Run(ctx, dispatch)
}

// withReadiness adds the load balancer's readiness check to the caller API.
func (h *Host) withReadiness(callerAPI http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", callerAPI)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !h.IsReady() {
			http.Error(w, h.notReadyReason(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

func (h *Host) notReadyReason() string {
	if h.drainer.draining.Load() {
		return "host is draining"
	}
	return "no configuration is in force: neither the platform nor a peer has given one"
}
