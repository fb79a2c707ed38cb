package events

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type eventJSON struct {
	At       string `json:"at"`
	Host     string `json:"host"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Ticket   uint64 `json:"ticket,omitempty"`
	Detail   string `json:"detail,omitempty"`
	// Duration is in nanoseconds.
	Duration int64 `json:"duration-ns,omitempty"`
}

// Encode encodes events as a JSON array.
func Encode(events []spoke.Event) ([]byte, error) {
	raw := make([]eventJSON, 0, len(events))
	for _, event := range events {
		raw = append(raw, eventJSON{
			At:       FormatTime(event.At),
			Host:     string(event.Host),
			Kind:     string(event.Kind),
			Request:  string(event.Request),
			Attempt:  string(event.Attempt),
			Upstream: string(event.Upstream),
			Ticket:   uint64(event.Ticket),
			Detail:   event.Detail,
			Duration: int64(event.Duration),
		})
	}
	text, err := json.Marshal(raw)
	return text, eris.Wrap(err, "encode events")
}

// Decode decodes a JSON array of events.
func Decode(text []byte) ([]spoke.Event, error) {
	var raw []eventJSON
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, eris.Wrap(err, "decode events")
	}
	events := make([]spoke.Event, 0, len(raw))
	for i, item := range raw {
		at, err := ParseTime(item.At)
		if err != nil {
			return nil, eris.Wrapf(err, "event %d", i)
		}
		events = append(events, spoke.Event{
			At:       at,
			Host:     spoke.HostID(item.Host),
			Kind:     spoke.EventKind(item.Kind),
			Request:  spoke.RequestID(item.Request),
			Attempt:  spoke.AttemptID(item.Attempt),
			Upstream: spoke.UpstreamID(item.Upstream),
			Ticket:   spoke.TicketNumber(item.Ticket),
			Detail:   item.Detail,
			Duration: time.Duration(item.Duration),
		})
	}
	return events, nil
}

// FormatTime returns a clock reading as wall.logical for headers and messages.
func FormatTime(at spoke.HybridTime) string {
	return fmt.Sprintf("%d.%d", at.Wall, at.Logical)
}

// ParseTime parses a clock reading of the form wall.logical.
func ParseTime(text string) (spoke.HybridTime, error) {
	wallText, logicalText, found := strings.Cut(text, ".")
	if !found {
		return spoke.HybridTime{}, eris.Errorf("clock reading %q has no logical part", text)
	}
	wall, err := strconv.ParseInt(wallText, 10, 64)
	if err != nil {
		return spoke.HybridTime{}, eris.Wrapf(err, "clock reading %q", text)
	}
	logical, err := strconv.ParseUint(logicalText, 10, 32)
	if err != nil {
		return spoke.HybridTime{}, eris.Wrapf(err, "clock reading %q", text)
	}
	return spoke.HybridTime{Wall: wall, Logical: uint32(logical)}, nil
}
