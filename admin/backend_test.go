package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/config"
)

const key = "operator-key"

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// backend is a fake administration that returns a configurable error.
type backend struct {
	err      error
	tickets  map[spoke.TicketNumber]spoke.Ticket
	manifest *spoke.Manifest
	status   spoke.Status
	drained  bool
	filter   spoke.EventFilter
}

func (b *backend) Submit(_ context.Context, ticket spoke.Ticket) error {
	if b.err == nil {
		b.tickets[ticket.Number] = ticket
	}
	return b.err
}

func (b *backend) Ticket(_ context.Context, number spoke.TicketNumber) (spoke.Ticket, error) {
	ticket, ok := b.tickets[number]
	if !ok {
		return ticket, &spoke.AdminError{Code: spoke.AdminNotFound, Message: "no such ticket"}
	}
	return ticket, b.err
}

func (b *backend) Manifest(context.Context) (*spoke.Manifest, error) { return b.manifest, b.err }

func (b *backend) Status(context.Context) (spoke.Status, error) { return b.status, b.err }

func (b *backend) Drain(context.Context) error {
	b.drained = b.err == nil
	return b.err
}

func (b *backend) Events(_ context.Context, filter spoke.EventFilter) (spoke.EventPage, error) {
	b.filter = filter
	return spoke.EventPage{Host: "entry-1", Overwritten: 4, Events: sampleEvents()}, b.err
}

func (b *backend) Explain(_ context.Context, id spoke.RequestID) (spoke.RequestReport, error) {
	return spoke.RequestReport{Request: id, Host: "entry-1", State: "queued", Events: sampleEvents()}, b.err
}

func sampleEvents() []spoke.Event {
	return []spoke.Event{{At: spoke.HybridTime{Wall: noon.UnixNano(), Logical: 3}, Host: "entry-1", Kind: "received", Request: "r-1"}}
}

// codec is a fake ticket codec that encodes only the number and the author of a ticket.
type codec struct{}

type ticketJSON struct {
	Number uint64 `json:"number"`
	Author string `json:"author"`
}

func (codec) EncodeTicket(ticket spoke.Ticket) ([]byte, error) {
	return json.Marshal(ticketJSON{uint64(ticket.Number), ticket.Author})
}

func (codec) DecodeTicket(text []byte) (spoke.Ticket, error) {
	var raw ticketJSON
	var report check.Report
	if err := json.Unmarshal(text, &raw); err != nil {
		report.Addf("ticket", "%v", err)
	}
	if raw.Author == "" {
		report.Addf("ticket: author", "is empty")
	}
	return spoke.Ticket{Number: spoke.TicketNumber(raw.Number), Author: raw.Author}, report.Err()
}

func (codec) EncodeManifest(manifest *spoke.Manifest) ([]byte, error) {
	return json.Marshal(ticketJSON{Number: uint64(manifest.Number)})
}

func serve(t *testing.T) (*backend, *admin.Client) {
	t.Helper()
	b := &backend{tickets: make(map[spoke.TicketNumber]spoke.Ticket)}
	server := httptest.NewServer(admin.NewHandler(b, codec{}, []spoke.KeyHash{config.HashKey("other"), config.HashKey(key)}))
	t.Cleanup(server.Close)
	return b, admin.NewClient(spoke.Address(strings.TrimPrefix(server.URL, "http://")), key)
}

func codeOf(t *testing.T, err error) spoke.AdminCode {
	t.Helper()
	var failure *spoke.AdminError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure.Code
}
