package fleet

import (
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/relay"
)

// ErrUnknownLink is returned for a link that the set-up does not have.
var ErrUnknownLink = eris.New("unknown link")

// Link is a group of relays that fail together.
type Link []*relay.Relay

// Cut stops all traffic in both directions until Restore; connections stay open.
func (l Link) Cut() { l.each((*relay.Relay).Cut) }

// Restore ends a cut and delivers the data sent during it.
func (l Link) Restore() { l.each((*relay.Relay).Restore) }

// Silence permanently stops all traffic on the open connections without closing them.
func (l Link) Silence() { l.each((*relay.Relay).Silence) }

// Reset closes the open connections with a TCP reset.
func (l Link) Reset() { l.each((*relay.Relay).Reset) }

// Delay sets the one-way delay in both directions.
func (l Link) Delay(delay time.Duration) {
	for _, each := range l {
		each.Delay(relay.Forward, delay)
		each.Delay(relay.Backward, delay)
	}
}

// Limit sets the rate of each relay in both directions; zero means no limit.
func (l Link) Limit(rate spoke.ByteRate) {
	for _, each := range l {
		each.Limit(relay.Forward, rate)
		each.Limit(relay.Backward, rate)
	}
}

func (l Link) each(apply func(*relay.Relay)) {
	for _, each := range l {
		apply(each)
	}
}
