package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// clockDriftDivisor determines the fraction of the time since a sender's last report by which the transit time of its
	// fastest one is raised. Clocks that are adjusted differ by less.
	clockDriftDivisor = 1000
	// transitRiseDivisor determines the fraction of up to transitRiseSpan of that time by which it is raised at least, so
	// that a transit time that was measured too short counts no longer after some minutes of reports.
	transitRiseDivisor = 100
	transitRiseSpan    = time.Second
	// senderTimeout is the time without a report after which a sender's clock is dropped. It is longer than peerTimeout,
	// since a link may hold the next report back for longer.
	senderTimeout = 5 * time.Minute
)

type (
	// reportClock is the clock by which reports tell when they were sent. It starts with the first reading and includes
	// suspensions of the machine.
	reportClock struct {
		started   time.Time
		suspended time.Duration
	}

	// senderClock identifies the clock of a process that sends reports.
	senderClock struct {
		host  spoke.HostID
		clock spoke.ClockID
	}

	// reportTransit is the transit time of a sender's fastest recent report, from a reading of the sender's clock to one
	// of this host's, so that only differences between transit times have a meaning.
	reportTransit struct {
		fastest time.Duration
		// receivedAt is the reading at the last report.
		receivedAt time.Duration
	}

	reportSenders map[senderClock]reportTransit
)

func (c *reportClock) reading(now time.Time) time.Duration {
	if c.started.IsZero() {
		c.started = now
	}
	return now.Sub(c.started) + c.suspended
}

func (c *reportClock) sent(now time.Time) spoke.SentTime {
	reading := c.reading(now)
	return spoke.SentTime{Clock: spoke.ClockID(c.started.UnixMilli()), Reading: reading}
}

// observe returns by how much a report was slower than the sender's fastest one, zero for the first one.
func (r reportSenders) observe(sender senderClock, sent, received time.Duration) time.Duration {
	transit := received - sent
	fastest := transit
	if known, isKnown := r[sender]; isKnown {
		fastest = min(transit, known.fastest+transitRise(received-known.receivedAt))
	}
	r[sender] = reportTransit{fastest: fastest, receivedAt: received}
	return transit - fastest
}

// transitRise returns by how much the transit time of a sender's fastest report is raised after a time without one.
func transitRise(silent time.Duration) time.Duration {
	silent = max(silent, 0)
	return max(silent/clockDriftDivisor, min(silent, transitRiseSpan)/transitRiseDivisor)
}

func (r reportSenders) dropIdle(now time.Duration) {
	maps.DeleteFunc(r, func(_ senderClock, known reportTransit) bool { return now-known.receivedAt > senderTimeout })
}

// delayOf returns the longest time for which a report may have been on its way or unread, as far as it shows.
func (s *Scheduler) delayOf(now time.Time, m ReceiveReport) time.Duration {
	return max(s.observeDelay(now, m), m.MaxDelay)
}

// applyWantedAges takes over the ages of wanted weights in a report, raised by its delay.
func (s *Scheduler) applyWantedAges(now time.Time, delay time.Duration, m ReceiveReport) {
	for _, known := range m.Report.WantedAges {
		s.setWantedWeights(now, SetWantedWeights{
			Wanted: known.Wanted, Age: known.Age + delay, At: m.At, Host: m.Report.Host, Clock: m.Report.Sent.Clock,
			IsEstimate: known.IsEstimate || m.MaxDelay > 0 || delay > directoryDelay,
		})
	}
}

// observeDelay returns the delay of a report, zero if it does not show, and corrects what was taken over from slower
// reports of its sender.
func (s *Scheduler) observeDelay(now time.Time, m ReceiveReport) time.Duration {
	sent := m.Report.Sent
	if sent.Clock == 0 {
		return 0
	}
	receivedAt := m.At
	if receivedAt.IsZero() {
		receivedAt = now
	}
	sender := senderClock{m.Report.Host, sent.Clock}
	delay := s.senders.observe(sender, sent.Reading, s.clock.reading(receivedAt))
	s.correctWantedAges(now, sender)
	return delay
}

func (s *Scheduler) correctWantedAges(now time.Time, sender senderClock) {
	isCorrected := false
	for _, model := range slices.Sorted(maps.Keys(s.wanted)) {
		versions := s.wanted[model]
		for i := range versions {
			before := versions[i].wantedTime
			versions[i].correct(sender, s.senders[sender].fastest)
			if after := versions[i].wantedTime; after.differsFrom(before) {
				isCorrected = true
				s.actions = append(s.actions, WantedAgeChanged{
					Wanted: spoke.WantedWeights{Model: model, Version: versions[i].version}, Host: sender.host,
					Before: now.Sub(before.since), Age: now.Sub(after.since), WasEstimate: before.isEstimate,
				})
			}
		}
	}
	if isCorrected {
		s.recallOutdated(now)
	}
}
