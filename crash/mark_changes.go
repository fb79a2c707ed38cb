package crash

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// expiryTolerance is the difference of two expiries that is no change. Marks that hosts send to each other expire some
// milliseconds later at each receiver.
const expiryTolerance = time.Second

type (
	// MarkChanges selects the marks that hosts have not been sent yet. The zero value has sent none; it is not safe for
	// concurrent use.
	MarkChanges struct {
		sent map[spoke.Fingerprint]sentMark
	}

	// sentMark is what was last sent of a mark.
	sentMark struct {
		deaths    int
		upstreams [spoke.MarkUpstreams]spoke.UpstreamID
		expires   time.Time
	}
)

// Select returns the marks that are new or have changed since they were last selected, and all if isFull.
func (c *MarkChanges) Select(now time.Time, marks []spoke.QuarantineMark, isFull bool) []spoke.QuarantineMark {
	for fingerprint, known := range c.sent {
		if !known.expires.After(now) {
			delete(c.sent, fingerprint)
		}
	}
	if c.sent == nil {
		c.sent = make(map[spoke.Fingerprint]sentMark)
	}
	var selected []spoke.QuarantineMark
	for _, mark := range marks {
		known, isKnown := c.sent[mark.Fingerprint]
		if !isFull && isKnown && !known.differs(mark) {
			continue
		}
		c.sent[mark.Fingerprint] = sentMark{mark.Deaths, mark.Upstreams, mark.Expires}
		selected = append(selected, mark)
	}
	return selected
}

func (s sentMark) differs(mark spoke.QuarantineMark) bool {
	return mark.Deaths != s.deaths || mark.Upstreams != s.upstreams || mark.Expires.Sub(s.expires).Abs() > expiryTolerance
}
