package host

import (
	"context"
	"errors"
	"maps"
	"slices"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ticket"
)

type (
	// administration implements the administration API of a host.
	administration struct {
		host     *Host
		acceptor *ticket.Acceptor
	}

	// ticketCodec encodes and decodes tickets for the administration API.
	ticketCodec struct{}
)

// Submit validates and accepts a ticket and puts it in force on this host at once.
func (a administration) Submit(ctx context.Context, submitted spoke.Ticket) error {
	manifest, err := a.acceptor.Accept(ctx, submitted)
	if err != nil {
		a.host.events.Record(spoke.Event{Kind: "ticket-refused", Ticket: submitted.Number, Detail: err.Error()})
		return adminError(err)
	}
	a.host.events.Record(spoke.Event{Kind: "ticket-accepted", Ticket: submitted.Number, Detail: "by " + submitted.Author})
	a.host.manifest.InstallAccepted(ctx, manifest)
	return nil
}

func adminError(err error) error {
	var stale *ticket.StaleNumberError
	if errors.As(err, &stale) {
		return &spoke.AdminError{Code: spoke.AdminStaleNumber, Message: err.Error(), Cause: err}
	}
	var conflict *ticket.ConflictError
	if errors.As(err, &conflict) {
		return &spoke.AdminError{Code: spoke.AdminConflict, Message: err.Error(), Winner: conflict.Winner, Cause: err}
	}
	return err
}

// Ticket returns an accepted ticket.
func (a administration) Ticket(ctx context.Context, number spoke.TicketNumber) (spoke.Ticket, error) {
	found, err := a.acceptor.Ticket(ctx, number)
	if errors.Is(err, spoke.ErrKeyMissing) {
		return found, &spoke.AdminError{Code: spoke.AdminNotFound, Message: err.Error(), Cause: err}
	}
	return found, err
}

// Manifest returns the configuration in force on this host, nil if there is none.
func (a administration) Manifest(context.Context) (*spoke.Manifest, error) {
	return a.host.manifestView.Current(), nil
}

// Status returns the state of this host and its view of peers, upstreams, caches and stores.
func (a administration) Status(ctx context.Context) (spoke.Status, error) {
	h := a.host
	members := h.members.View()
	self := members.Peers[members.Self]
	status := spoke.Status{Host: spoke.HostStatus{
		ID: h.settings.Host, Region: h.settings.Region, DataCentre: h.settings.DataCentre,
		Ready: h.IsReady(), Draining: h.drainer.draining.Load(), Number: h.manifestView.Number(),
		Incarnation: self.Incarnation, Started: h.started, Requests: int(h.metrics.openRequests.Load()),
	}}
	for _, id := range sortedHosts(members) {
		status.Peers = append(status.Peers, members.Peers[id])
	}
	for _, service := range h.manifestView.Current().Services() {
		status.Upstreams = append(status.Upstreams, h.views.Views(service.Name)...)
	}
	status.Caches = h.blocks.Caches(ctx)
	for i := range status.Caches {
		if observed, ok := h.pollers.Status(status.Caches[i].Upstream); ok {
			status.Caches[i].Used, status.Caches[i].Size = observed.report.CacheUsed, observed.report.CacheSize
		}
	}
	status.Stores = h.blocks.Stores(ctx, h.settings.DataCentre)
	return status, nil
}

// Drain starts the graceful shutdown of this host.
func (a administration) Drain(context.Context) error {
	a.host.drainer.Begin()
	return nil
}

// Events returns the events of this host that are still stored.
func (a administration) Events(_ context.Context, filter spoke.EventFilter) (spoke.EventPage, error) {
	recorder := a.host.events
	return spoke.EventPage{
		Host:        a.host.settings.Host,
		Overwritten: recorder.Overwritten(),
		Events:      recorder.Events(filter),
	}, nil
}

// Explain returns the events of a request that this host has recorded.
func (a administration) Explain(_ context.Context, id spoke.RequestID) (spoke.RequestReport, error) {
	recorded := a.host.events.Events(spoke.EventFilter{Request: id})
	report := spoke.RequestReport{Request: id, Host: a.host.settings.Host, Events: recorded}
	if len(recorded) > 0 {
		report.State = string(recorded[len(recorded)-1].Kind)
	}
	return report, nil
}

// EncodeTicket returns the ticket as JSON.
func (ticketCodec) EncodeTicket(t spoke.Ticket) ([]byte, error) { return ticket.EncodeTicket(t) }

// DecodeTicket reads a ticket and reports all findings.
func (ticketCodec) DecodeTicket(text []byte) (spoke.Ticket, error) { return ticket.DecodeTicket(text) }

// EncodeManifest returns the manifest as JSON.
func (ticketCodec) EncodeManifest(m *spoke.Manifest) ([]byte, error) {
	return ticket.EncodeManifest(m)
}

func sortedHosts(members *spoke.Membership) []spoke.HostID {
	return slices.Sorted(maps.Keys(members.Peers))
}
