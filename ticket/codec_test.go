package ticket_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/ticket"
)

func fullTicket() spoke.Ticket {
	return spoke.Ticket{Number: 7, Author: "ops", Objects: []spoke.Object{
		spoke.Model{Name: "quotes", Service: "chat", Version: "v1", Adapters: []spoke.AdapterName{"a1"}},
		spoke.Rank{Name: "urgent", Order: 1, FirstTokenTarget: 560 * time.Millisecond, Floor: 0.5, Worth: 3},
		spoke.Service{Name: "chat", Kind: spoke.ServiceLanguage, DefaultRank: "urgent"},
		spoke.Service{Name: "orders", Kind: spoke.ServicePlain, DefaultRank: "urgent",
			NonRepeatable: []spoke.CallPattern{{Method: "POST", PathPrefix: "/dispatches"}}},
		spoke.StoreHost{ID: "s1", Service: "chat", DataCentre: "lhe1", Address: "10.0.0.9:80",
			Memory: 1 << 30, Disk: 1 << 40, LinkRate: 1e9},
		spoke.Upstream{ID: "e1", Service: "chat", DataCentre: "lhe1", Address: "10.0.0.1:80",
			State: spoke.UpstreamServing, ChecksFencing: true, ChecksCaller: true},
		spoke.Workspace{ID: "w1", KeyHashes: []spoke.KeyHash{hash}, Weight: 2, MaxConcurrent: 9,
			Services: []spoke.ServiceName{"chat"}},
	}}
}

const hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// TestCodecKeepsAllFields guards against fields that are lost in encoding or decoding.
func TestCodecKeepsAllFields(t *testing.T) {
	full := fullTicket()
	content, err := ticket.EncodeTicket(full)
	assert.NilError(t, err)
	decoded, err := ticket.DecodeTicket(content)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, full)

	m := (*spoke.Manifest)(nil).Apply(full)
	assert.NilError(t, ticket.Validate(nil, full))
	content, err = ticket.EncodeManifest(m)
	assert.NilError(t, err)
	copied, err := ticket.DecodeManifest(content)
	assert.NilError(t, err)
	assert.DeepEqual(t, copied, m)
}

// TestDecodeReportsAllFindings guards against a decoder that stops at the first fault or ignores
// unknown fields.
func TestDecodeReportsAllFindings(t *testing.T) {
	_, err := ticket.DecodeTicket([]byte(`{"number":"x","colour":1,"objects":[
		{"kind":"upstream","value":{"id":"e1","Address":"10.0.0.1:80"}},
		{"kind":"cluster","value":{}},
		{"kind":"service","value":{"name":3,"non-repeatable":[{"verb":"POST"}]}}]}`))
	var report *check.Report
	assert.Assert(t, errors.As(err, &report))
	assert.DeepEqual(t, report.Findings, []check.Finding{
		{Place: "colour", Reason: "unknown field"},
		{Place: "number", Reason: `"x" does not fit: want spoke.TicketNumber`},
		{Place: "objects[0].value.Address", Reason: "unknown field"},
		{Place: "objects[1].kind", Reason: `unknown kind "cluster"`},
		{Place: "objects[2].value.name", Reason: "3 does not fit: want spoke.ServiceName"},
		{Place: "objects[2].value.non-repeatable[0].verb", Reason: "unknown field"},
	})
}

// TestValidateReportsAllFindings guards against rules that are not enforced and against findings
// without a place.
func TestValidateReportsAllFindings(t *testing.T) {
	m := (*spoke.Manifest)(nil).Apply(fullTicket())
	err := ticket.Validate(m, spoke.Ticket{Objects: []spoke.Object{
		spoke.Rank{Name: "batch", Order: 1, FirstTokenTarget: time.Second, Floor: 0.6},
		spoke.Upstream{ID: "e2", Service: "mail", DataCentre: "lhe1", Address: "10.0.0.1:80", State: "gone"},
		spoke.Upstream{ID: "e3", Service: "chat", DataCentre: "lhe1", Address: "localhost:80", State: "serving"},
		spoke.Workspace{ID: "w2", KeyHashes: []spoke.KeyHash{hash, "x"}, MaxConcurrent: -1},
		spoke.Model{Name: "m/2", Service: "orders"},
		spoke.Model{Name: "m/2", Service: "orders"},
	}, Removed: []spoke.ObjectKey{{Kind: "service", Name: "chat"}, {Kind: "rank", Name: "none"}}})
	var report *check.Report
	assert.Assert(t, errors.As(err, &report))
	places := make(map[string]bool)
	for _, finding := range report.Findings {
		places[finding.Place] = true
	}
	for _, place := range []string{
		"number", "author", "objects[5]", "removed[1]", "objects[3].value.weight", "objects[3].value.key-hashes", "objects[3].value.max-concurrent", "objects[0].value.order", "objects[0].value.floor",
		"objects[1].value.service", "objects[1].value.address", "objects[1].value.state", "objects[2].value.address", "objects[2].value.service",
		"objects[4].value.service", "objects[4].value.version", "manifest upstream/e1.service", "manifest model/quotes.service",
	} {
		assert.Assert(t, places[place], "no finding at %s in\n%v", place, err)
	}
}
