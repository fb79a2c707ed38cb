package tool_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/cmd/spokectl/tool"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/timer"
)

const key = "operator-key"

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

type (
	// host is the administration of a fake entry host.
	host struct {
		id          spoke.HostID
		submitErr   error
		accepted    []spoke.TicketNumber
		tickets     map[spoke.TicketNumber]string
		status      spoke.Status
		events      []spoke.Event
		overwritten uint64
		filter      spoke.EventFilter
		state       string
		drained     bool
	}

	// codec encodes a ticket as the text in its author field, and decodes only its number.
	codec struct{}
)

func (h *host) Submit(_ context.Context, ticket spoke.Ticket) error {
	if h.submitErr == nil {
		h.accepted = append(h.accepted, ticket.Number)
	}
	return h.submitErr
}

func (h *host) Ticket(_ context.Context, number spoke.TicketNumber) (spoke.Ticket, error) {
	text, ok := h.tickets[number]
	if !ok {
		return spoke.Ticket{}, &spoke.AdminError{Code: spoke.AdminNotFound, Message: "no such ticket"}
	}
	return spoke.Ticket{Number: number, Author: text}, nil
}

func (h *host) Manifest(context.Context) (*spoke.Manifest, error) {
	return &spoke.Manifest{Number: 9}, nil
}

func (h *host) Status(context.Context) (spoke.Status, error) { return h.status, nil }

func (h *host) Drain(context.Context) error {
	h.drained = true
	return nil
}

func (h *host) Events(_ context.Context, filter spoke.EventFilter) (spoke.EventPage, error) {
	h.filter = filter
	return spoke.EventPage{Host: h.id, Overwritten: h.overwritten, Events: h.events}, nil
}

func (h *host) Explain(_ context.Context, id spoke.RequestID) (spoke.RequestReport, error) {
	report := spoke.RequestReport{Request: id, Host: h.id, State: h.state}
	for _, event := range h.events {
		if event.Request == id {
			report.Events = append(report.Events, event)
		}
	}
	return report, nil
}

func (codec) EncodeTicket(ticket spoke.Ticket) ([]byte, error) { return []byte(ticket.Author), nil }

func (codec) DecodeTicket(text []byte) (spoke.Ticket, error) {
	var raw struct{ Number uint64 }
	var report check.Report
	if err := json.Unmarshal(text, &raw); err != nil {
		report.Addf("ticket: number", "is bad")
		report.Addf("ticket: author", "is empty")
	}
	return spoke.Ticket{Number: spoke.TicketNumber(raw.Number)}, report.Err()
}

func (codec) EncodeManifest(*spoke.Manifest) ([]byte, error) { return []byte(`{"number":9}`), nil }

// result holds the exit code, standard output and standard error of a command.
type result struct {
	code             int
	output, messages string
}

func serve(t *testing.T, h *host) string {
	t.Helper()
	server := httptest.NewServer(admin.NewHandler(h, codec{}, []spoke.KeyHash{config.HashKey(key)}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run executes a command line against the hosts at the addresses.
func run(t *testing.T, addresses []string, arguments ...string) result {
	t.Helper()
	var line []string
	for _, address := range addresses {
		line = append(line, "--host", address)
	}
	path := filepath.Join(t.TempDir(), "admin.key")
	assert.NilError(t, os.WriteFile(path, []byte(key+"\n"), 0o600))
	line = append(append(line, "--key-file", path), arguments...)
	var output, messages bytes.Buffer
	command := tool.New(strings.NewReader(`{"number":8}`), &output, &messages, tool.WithTimer(timer.NewManual(noon)))
	code := command.Run(t.Context(), line)
	return result{code, output.String(), messages.String()}
}
