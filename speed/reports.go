package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// peerLife is the time for which the report of another host counts.
	peerLife = 10 * time.Second
	// repeatAfter is the time after which a host repeats what it reports of an upstream.
	repeatAfter = 300 * time.Millisecond
	// suspectErrors is the number of standard errors from which a host reports what it has seen alone.
	suspectErrors = 2.5
	// reportBytes is the size of a report of one upstream without its id, as JSON.
	reportBytes = 72
	// bytesPerSecond bounds the reports that a host sends to all others together.
	bytesPerSecond = 1000.0
	// maxReportedCalls bounds the calls that a report of another host is worth.
	maxReportedCalls = 300
)

type (
	peerEvidence struct {
		fast, slow evidence
		at         time.Time
	}

	// Budget bounds the bytes of reports.
	Budget struct {
		bytes float64
		at    time.Time
	}
)

// take reports whether a report may be sent to a number of hosts, and counts it.
func (b *Budget) take(now time.Time, bytes float64) bool {
	b.bytes = min(b.bytes+now.Sub(b.at).Seconds()*bytesPerSecond, bytesPerSecond)
	b.at = now
	if b.bytes < min(bytes, bytesPerSecond) {
		return false
	}
	// A report to very many hosts may overdraw the budget, which delays the next one.
	b.bytes -= bytes
	return true
}

// Reports returns what a number of other hosts should know: upstreams that this host suspects to differ, and those
// that any other host reports, so that a host with a slow link of its own is contradicted.
func (s *Service) Reports(now time.Time, budget *Budget, hosts int) []spoke.UpstreamSpeed {
	if hosts <= 0 || s.link.isSlow {
		return nil
	}
	var due []*Upstream
	for _, u := range s.upstreams {
		if now.Sub(u.sentAt) >= repeatAfter && u.seenAt.After(u.sentAt) && (s.isSuspect(u) || u.Differs() || u.isReported(now)) {
			due = append(due, u)
		}
	}
	slices.SortStableFunc(due, func(a, b *Upstream) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.key.ID, b.key.ID))
	})
	var reports []spoke.UpstreamSpeed
	for _, u := range due {
		if !budget.take(now, float64(hosts*(reportBytes+len(u.key.ID)))) {
			break
		}
		u.sentAt = now
		reports = append(reports, spoke.UpstreamSpeed{
			Upstream: u.key.ID, Tag: u.Tag(), Recent: toSample(u.ownFast), Usual: toSample(u.ownSlow),
		})
	}
	return reports
}

func (s *Service) isSuspect(u *Upstream) bool {
	noise := s.noiseOf(u)
	from, _ := s.changeFrom()
	least := 2.0
	if s.isQueued {
		// Hosts send a slow engine so few calls that each has seen only one.
		least = 1
	}
	isRecent := u.ownFast.weight >= least && isBeyond(u.ownFast, from, noise)
	return isRecent || u.ownSlow.weight >= least && isBeyond(u.ownSlow, slowFrom, noise)
}

func isBeyond(e evidence, from, noise float64) bool {
	return math.Abs(e.deviation) > max(from, suspectErrors*noise/math.Sqrt(max(e.weight, 1)))
}

func (u *Upstream) isReported(now time.Time) bool {
	for _, peer := range u.peers {
		if now.Sub(peer.at) < peerLife {
			return true
		}
	}
	return false
}

// Receive applies what another host reports of an upstream. Reports of another start or software version and invalid
// ones change nothing.
func (u *Upstream) Receive(now time.Time, host spoke.HostID, report spoke.UpstreamSpeed) {
	if report.Tag != u.Tag() || report.Recent.Pace <= 0 || report.Usual.Pace <= 0 {
		return
	}
	u.peers[host] = peerEvidence{fast: fromSample(report.Recent), slow: fromSample(report.Usual), at: now}
	if report.Recent.Calls > 0 {
		u.evidenceAt = now
	}
}

// evidence combines what this host and others have seen.
func (u *Upstream) evidence(now time.Time) (fast, slow evidence) {
	allFast, allSlow := []evidence{u.ownFast}, []evidence{u.ownSlow}
	for host, peer := range u.peers {
		age := now.Sub(peer.at)
		if age > peerLife {
			delete(u.peers, host)
			continue
		}
		decay := math.Exp2(-float64(age) / float64(peerHalfLife))
		allFast = append(allFast, evidence{peer.fast.deviation, peer.fast.weight * decay})
		allSlow = append(allSlow, peer.slow)
	}
	return combine(allFast), combine(allSlow)
}

func toSample(e evidence) spoke.SpeedSample {
	return spoke.SpeedSample{Pace: math.Exp(e.deviation), Calls: int(e.weight + 0.5)}
}

func fromSample(s spoke.SpeedSample) evidence {
	deviation := min(max(math.Log(s.Pace), -callLimit), callLimit)
	return evidence{deviation, float64(min(max(s.Calls, 0), maxReportedCalls))}
}
