package edge

import (
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

// isDetour reports whether an answer came through another host.
func isDetour(answer *link.Response) bool {
	_, isRelayed := answer.Conn().(*relayedConn)
	return isRelayed
}

// logSpeed logs and counts that an upstream differs from the others in speed, or no longer.
func (p *planner) logSpeed(change place.SpeedChanged) {
	text, count := "upstream differs in speed", &p.metrics.speedDiffers
	if !change.Differs {
		text, count = "upstream no longer differs in speed", &p.metrics.speedRecovered
	}
	count.Add(1)
	p.log.WithFields(logrus.Fields{
		"upstream": change.Upstream, "pace": change.Pace, "takes": change.Takes, "slots": change.Slots,
	}).Info(text)
}
