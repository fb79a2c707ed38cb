package crash

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// timeTolerance is the difference of two times that is no change. Those of marks that hosts send to each other are some
// milliseconds later at each receiver.
const timeTolerance = time.Second

// MarkChanges selects the marks that hosts have not been sent yet. The zero value has sent none; it is not safe for
// concurrent use.
type MarkChanges struct {
	// sent holds each mark as it was last sent.
	sent map[spoke.Fingerprint]spoke.QuarantineMark
}

// Select returns the marks that are new or have changed since they were last selected, and all if isFull.
func (c *MarkChanges) Select(now time.Time, marks []spoke.QuarantineMark, isFull bool) []spoke.QuarantineMark {
	for fingerprint, known := range c.sent {
		if !known.Expires.After(now) {
			delete(c.sent, fingerprint)
		}
	}
	if c.sent == nil {
		c.sent = make(map[spoke.Fingerprint]spoke.QuarantineMark)
	}
	var selected []spoke.QuarantineMark
	for _, mark := range marks {
		known, isKnown := c.sent[mark.Fingerprint]
		if !isFull && isKnown && isSameMark(known, mark) {
			continue
		}
		c.sent[mark.Fingerprint] = mark
		selected = append(selected, mark)
	}
	return selected
}

func isSameMark(a, b spoke.QuarantineMark) bool {
	for i, fall := range a.Falls {
		if fall.Upstream != b.Falls[i].Upstream || !isSameTime(fall.At, b.Falls[i].At) {
			return false
		}
	}
	return a.Deaths == b.Deaths && a.Upstreams == b.Upstreams && isSameTime(a.Expires, b.Expires) && isSameTime(a.Served, b.Served)
}

func isSameTime(a, b time.Time) bool { return a.Sub(b).Abs() <= timeTolerance }
