package tool_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/spokectl/tool"
)

// unusedAddress is an address on which nothing listens.
const unusedAddress = "127.0.0.1:1"

// Guards against a submission that fails although another host can accept the ticket.
func TestSubmitTriesNextHost(t *testing.T) {
	failing, healthy := &host{submitErr: spoke.ErrAnswerLost}, &host{}
	got := run(t, []string{unusedAddress, serve(t, failing), serve(t, healthy)}, "submit", "-")
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Equal(t, got.output, "ticket 8 accepted\n")
	assert.DeepEqual(t, healthy.accepted, []spoke.TicketNumber{8})
	assert.Assert(t, is.Contains(got.messages, "outcome-unknown"))
}

// Guards against a refusal that leaves out the findings or the author of the conflicting ticket, and
// against refused tickets that are sent to other hosts.
func TestSubmitReportsRefusal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(path, []byte("{"), 0o600))
	other := &host{}
	got := run(t, []string{serve(t, &host{}), serve(t, other)}, "submit", path)
	assert.Equal(t, got.code, tool.ExitFailed)
	assert.Assert(t, is.Contains(got.messages, "2 findings; nothing was applied\n  ticket: number: is bad\n  ticket: author: is empty"))

	conflicting := &host{submitErr: &spoke.AdminError{Code: spoke.AdminConflict, Message: "number 8 is taken", Winner: "eve"}}
	got = run(t, []string{serve(t, conflicting), serve(t, other)}, "submit", "-")
	assert.Equal(t, got.code, tool.ExitFailed)
	assert.Assert(t, is.Contains(got.messages, "belongs to a ticket of eve"))
	assert.Equal(t, len(other.accepted), 0)
}

// Guards against a diff that reports moved objects as changed or misses a change.
func TestDiffMatchesMovedObjects(t *testing.T) {
	address := serve(t, &host{tickets: map[spoke.TicketNumber]string{
		1: `{"number":1,"objects":[{"kind":"rank","name":"a","order":1},{"kind":"rank","name":"b","order":2}]}`,
		2: `{"number":2,"objects":[{"kind":"rank","name":"b","order":3},{"kind":"rank","name":"c"},{"kind":"rank","name":"a","order":1}]}`,
	}})
	got := run(t, []string{address}, "diff", "1", "2")
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Equal(t, got.output, `~ number: 1 -> 2
~ objects[rank/b].order: 2 -> 3
+ objects[rank/c].kind: "rank"
+ objects[rank/c].name: "c"
`)
	got = run(t, []string{address}, "--json", "diff", "2", "1")
	assert.Assert(t, is.Contains(got.output, `"path": "objects[rank/c].name",`+"\n    \"old\": \"c\""))
	got = run(t, []string{address}, "show", "3")
	assert.Equal(t, got.code, tool.ExitFailed)
	got = run(t, []string{address}, "show")
	assert.Equal(t, got.output, "{\n  \"number\": 9\n}\n")
}

// Guards against a status that leaves out dead peers or shows the load of an upstream from a host
// other than its owner.
func TestStatusShowsDeadPeersAndLoadFromOwners(t *testing.T) {
	view := func(owner spoke.HostID, running int) []spoke.UpstreamView {
		return []spoke.UpstreamView{{
			Upstream: spoke.Upstream{ID: "engine-1", Service: "quotes", DataCentre: "d", State: spoke.UpstreamServing},
			Owner:    owner,
			Load:     spoke.LoadSummary{Running: running, Versions: map[spoke.ModelName]spoke.ModelVersion{"m": "v1"}},
		}}
	}
	first := &host{status: spoke.Status{
		Host:      spoke.HostStatus{ID: "one", DataCentre: "d", Ready: true, Number: 7, Started: noon},
		Upstreams: view("two", 1),
		Peers: []spoke.Peer{
			{ID: "two", State: spoke.PeerAlive, Digest: spoke.Digest{Number: 7}},
			{ID: "three", State: spoke.PeerDead, Digest: spoke.Digest{Number: 7}},
		},
	}}
	second := &host{status: spoke.Status{Host: spoke.HostStatus{ID: "two"}, Upstreams: view("two", 5)}}
	addresses := []string{serve(t, first), serve(t, second)}
	got := run(t, addresses, "status")
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	fields := strings.Join(strings.Fields(got.output), " ")
	assert.Assert(t, is.Contains(fields, "engine-1 quotes d serving two 0 5 0 0s m=v1"))
	assert.Assert(t, is.Contains(fields, "one three"))
	assert.Assert(t, !strings.Contains(fields, "one two"))

	got = run(t, append(addresses, unusedAddress), "--json", "status")
	assert.Equal(t, got.code, tool.ExitPartial)
	assert.Assert(t, is.Contains(got.output, `"host-id": "one"`))
	got = run(t, []string{unusedAddress}, "status")
	assert.Equal(t, got.code, tool.ExitFailed)
}

// Guards against a drain command that drains all hosts of a list.
func TestDrainTakesOneHost(t *testing.T) {
	first, second := &host{}, &host{}
	addresses := []string{serve(t, first), serve(t, second)}
	got := run(t, addresses, "drain")
	assert.Equal(t, got.code, tool.ExitUsage)
	assert.Assert(t, !first.drained && !second.drained)
	got = run(t, addresses[1:], "drain")
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Assert(t, !first.drained && second.drained)
}

func twoHosts() (*host, *host) {
	at := func(after time.Duration) spoke.HybridTime { return spoke.HybridTime{Wall: noon.Add(after).UnixNano()} }
	first := &host{id: "one", state: "streaming", overwritten: 3, events: []spoke.Event{
		{At: at(0), Host: "one", Kind: "received", Request: "r"},
		{At: at(2 * time.Second), Host: "one", Kind: "finished", Request: "r"},
	}}
	second := &host{id: "two", events: []spoke.Event{
		{At: at(time.Second), Host: "two", Kind: "run", Request: "r", Attempt: "r.1", Upstream: "engine-1"},
	}}
	return first, second
}

// Guards against a timeline that is not merged, ignores its filters or does not report overwritten events.
func TestTimelineMergesAndFiltersEvents(t *testing.T) {
	first, second := twoHosts()
	addresses := []string{serve(t, first), serve(t, second)}
	got := run(t, addresses, "timeline", "--request", "r", "--since", "15m", "--until", "2026-03-01T13:00:00Z")
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	lines := strings.Split(got.output, "\n")
	assert.Assert(t, is.Contains(lines[1], "received"))
	assert.Assert(t, is.Contains(lines[2], "upstream=engine-1"))
	assert.Assert(t, is.Contains(lines[3], "finished"))
	assert.Assert(t, is.Contains(got.messages, "host one no longer holds its oldest 3 events"))
	assert.DeepEqual(t, second.filter, spoke.EventFilter{
		Request: "r", Since: noon.Add(-15 * time.Minute), Until: noon.Add(time.Hour),
	})

	path := filepath.Join(t.TempDir(), "trace.json")
	got = run(t, addresses, "timeline", "--trace", path)
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, is.Contains(string(text), `"traceEvents"`))
	got = run(t, addresses, "timeline", "--since", "yesterday")
	assert.Equal(t, got.code, tool.ExitUsage)
}

// Guards against an explanation from logs that calls hosts, does not report malformed lines, or
// leaves the request out of the trace file.
func TestExplainFromLogs(t *testing.T) {
	directory, path := t.TempDir(), filepath.Join(t.TempDir(), "trace.json")
	log := `{"time":"2026-03-01T12:00:00Z","host-id":"one","level":"info","msg":"answered","request-id":"r","took":"40ms"}` + "\ncut"
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "one.log"), []byte(log), 0o600))
	got := run(t, nil, "explain", "r", "--logs", directory, "--trace", path)
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Assert(t, is.Contains(got.output, "answered"))
	assert.Assert(t, is.Contains(got.messages, "one.log:2"))
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, is.Contains(string(text), `"dur":40000`))
}

// Guards against a report of late streams that calls hosts, does not report malformed lines, or differs
// between text and JSON.
func TestLateFromLogs(t *testing.T) {
	directory := t.TempDir()
	log := `{"time":"2026-03-01T12:00:00Z","host-id":"one","level":"info","msg":"placed","request-id":"r","route":"chat","waited":"1ms","predicted":"50ms"}` + "\n" +
		`{"time":"2026-03-01T12:00:01Z","host-id":"one","level":"info","msg":"stream began","request-id":"r","target":"400ms","first-event":"900ms"}` + "\ncut"
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "one.log"), []byte(log), 0o600))
	got := run(t, nil, "late", directory)
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Equal(t, got.output, "route chat: 1 streams, 1 late; first events after their prediction: p10 849ms, p50 849ms, p90 849ms\n  reading-late     1\n")
	assert.Assert(t, is.Contains(got.messages, "one.log:3"))
	got = run(t, nil, "--json", "late", directory)
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Assert(t, is.Contains(got.output, `"reading-late"`), got.output)
	got = run(t, nil, "late", t.TempDir())
	assert.Equal(t, got.code, tool.ExitFailed)
}

// Guards against an explanation that leaves out hosts, or succeeds for a request that no host has recorded.
func TestExplainQueriesAllHosts(t *testing.T) {
	first, second := twoHosts()
	addresses := []string{serve(t, first), serve(t, second)}
	got := run(t, addresses, "explain", "r")
	assert.Equal(t, got.code, tool.ExitDone, got.messages)
	assert.Assert(t, strings.HasPrefix(got.output, `request r is streaming on one
request r: 3 events over 2s, last: finished
attempt r.1 went to upstream engine-1
`), got.output)
	got = run(t, addresses[1:], "explain", "other")
	assert.Equal(t, got.code, tool.ExitFailed)
	assert.Assert(t, is.Contains(got.messages, `no host knows request "other"`))
}

// Guards against help without examples and against accepting an administration key as an argument.
func TestHelpHasExamplesAndNoKeyArgument(t *testing.T) {
	for _, name := range []string{"submit", "show", "diff", "status", "drain", "timeline", "explain", "late"} {
		got := run(t, nil, name, "--help")
		assert.Equal(t, got.code, tool.ExitDone, name)
		assert.Assert(t, is.Contains(got.output, "Examples:\n  "), name)
	}
	got := run(t, nil, "status")
	assert.Equal(t, got.code, tool.ExitUsage)
	got = run(t, []string{unusedAddress}, "status", "--key", "secret")
	assert.Equal(t, got.code, tool.ExitUsage)
}
