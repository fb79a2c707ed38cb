package logs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/logs"
)

// Guards against a timeline that loses the duration or the upstream of an event.
func TestEventsKeepDurationAndUpstream(t *testing.T) {
	at := time.Unix(1000, 0)
	events := logs.Events([]logs.Entry{
		{Time: at, Host: "one", Level: "info", Message: "stream began", Request: "r", Fields: []logs.Field{
			{Name: "first-event", Value: "25ms"}, {Name: "upstream", Value: "e"},
		}},
		{Time: at, Host: "one", Message: "directory lost", Fields: []logs.Field{{Name: "lost-for", Value: "unreadable"}}},
	})
	assert.DeepEqual(t, events, []spoke.Event{
		{
			At: spoke.HybridTime{Wall: at.UnixNano()}, Host: "one", Kind: "stream-began", Request: "r", Upstream: "e",
			Detail: "first-event=25ms upstream=e", Duration: 25 * time.Millisecond,
		},
		{At: spoke.HybridTime{Wall: at.UnixNano()}, Host: "one", Kind: "directory-lost", Detail: "lost-for=unreadable"},
	})
}
