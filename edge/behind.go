package edge

import (
	"bytes"

	"github.com/sirupsen/logrus"
)

const (
	// behindNoEvent marks bytes that cannot become an event, behindOrder events whose ids go back.
	behindNoEvent behindKind = "no-event"
	behindOrder   behindKind = "event-order"
)

type (
	// behindKind names what stands behind the last event that belongs to an answer.
	behindKind string

	// behind is what was dropped behind the last event that belongs to an answer, as far as it was read.
	behind struct {
		kind   behindKind
		bytes  int
		events int
	}
)

// dropBehind records and counts bytes that do not belong to the answer.
func (a *attempt) dropBehind(kind behindKind, dropped []byte) {
	a.behind = behind{kind: kind, bytes: len(dropped), events: bytes.Count(dropped, eventDelimiter)}
	a.metrics.addBehind()
}

// answerFields returns the framing of the answer, if there is one, and what was dropped behind it.
func (a *attempt) answerFields() logrus.Fields {
	fields := logrus.Fields{}
	if a.framing != "" {
		fields["framing"] = a.framing
	}
	if a.behind.kind != "" {
		fields["behind"], fields["behind-bytes"], fields["behind-events"] = a.behind.kind, a.behind.bytes, a.behind.events
	}
	return fields
}
