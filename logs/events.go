package logs

import (
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

const fieldUpstream = "upstream"

// durationFields name the fields with the duration of what a line reports; the first one that is
// present and valid counts.
var durationFields = []string{"took", "first-event", "held", "waited", "lost-for"}

// Events converts entries to events of a timeline; an event with a duration ends at the time of its
// entry.
func Events(entries []Entry) []spoke.Event {
	events := make([]spoke.Event, 0, len(entries))
	for _, entry := range entries {
		events = append(events, entry.event())
	}
	return events
}

func (e Entry) event() spoke.Event {
	return spoke.Event{
		At:       spoke.HybridTime{Wall: e.Time.UnixNano()},
		Host:     e.Host,
		Kind:     spoke.EventKind(strings.ReplaceAll(e.Message, " ", "-")),
		Request:  e.Request,
		Upstream: spoke.UpstreamID(e.value(fieldUpstream)),
		Detail:   e.fieldText(),
		Duration: e.duration(),
	}
}

// value returns the value of a field, empty if the line has no field of the name.
func (e Entry) value(name string) string {
	for _, field := range e.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// duration returns the duration that the line reports. A field that cannot be parsed is ignored, since
// the detail of the event shows it.
func (e Entry) duration() time.Duration {
	for _, name := range durationFields {
		if took, err := time.ParseDuration(e.value(name)); err == nil {
			return took
		}
	}
	return 0
}

func (e Entry) fieldText() string {
	fields := make([]string, 0, len(e.Fields))
	for _, field := range e.Fields {
		fields = append(fields, field.Name+"="+field.Value)
	}
	return strings.Join(fields, " ")
}
