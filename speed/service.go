package speed

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaspoke.example/spoke"
)

const (
	// fastLife and slowLife are the ages up to which calls count in the two windows of an upstream; fastSize and slowSize
	// bound their numbers.
	fastLife = 1200 * time.Millisecond
	slowLife = time.Minute
	fastSize = 32
	slowSize = 128
	// usualInterval is the time between two evaluations of the longer window.
	usualInterval = time.Second
	// peerHalfLife is the time in which the weight of what another host has recently seen halves.
	peerHalfLife = 600 * time.Millisecond
	// minFastCalls and minSlowCalls are the least numbers of calls by which an upstream is judged.
	minFastCalls = 5.0
	minSlowCalls = 16.0
	// minSourceWeight is the least weight of what a host has seen, medianSources the number of hosts from which on their
	// median counts.
	minSourceWeight = 0.5
	medianSources   = 3
	// fromErrors is the number of standard errors from which a deviation counts, untilErrors that below which it ends.
	// Upstreams are judged ten times a second, so that four standard errors would be reached by chance within minutes.
	fromErrors  = 5.0
	untilErrors = 2.0
	// queuedErrors is fromErrors for a change where calls wait behind each other: queuedNoise is a margin already.
	queuedErrors = 2.8
	// minNoise is the least standard deviation of the logarithm of a call's time.
	minNoise = 0.15
	// queuedNoise is the factor of the noise where calls wait behind each other.
	queuedNoise = 2.5
	// confirmAfter is the time for which a change must last. When the host's own link turns slow, calls to one upstream
	// show it before those to the others, and other hosts need as long to contradict.
	confirmAfter = 300 * time.Millisecond
	// judgeInterval is the time between two judgements of a service.
	judgeInterval = 100 * time.Millisecond
	// adoptAfter is the time after which a change that lasts becomes the usual speed.
	adoptAfter = 10 * time.Second
	// silence is the time without any observation after which an upstream counts as equal again.
	silence = 10 * time.Second
	// maxPace bounds the pace.
	maxPace = 8.0
)

var (
	// queuedFrom is fastFrom where calls wait behind each other: a queue alone doubles their time, and machines that turn
	// 2.5 times slower for 0.6 s have recovered before that is confirmed.
	queuedFrom = math.Log(4)
	// fastFrom, slowFrom and slowUntil are the deviations from which recent and usual calls differ, and below which they
	// no longer do.
	fastFrom  = math.Log(1.6)
	slowFrom  = math.Log(1.18)
	slowUntil = math.Log(1.08)
	// callLimit bounds the deviation of one call and of what another host reports.
	callLimit = math.Log(8)
)

type (
	// Key identifies one start of an upstream with one software version.
	Key struct {
		spoke.UpstreamStart
		Software spoke.SoftwareVersion
	}

	// Call is a call that an upstream has answered.
	Call struct {
		// Load is the number of calls that the upstream had when this one was sent.
		Load int
		// Work is a measure of the work that the upstream has recently got, by which the call may have been delayed. It is
		// zero if the ratio does not depend on it.
		Work float64
		// Ratio is the time that the call took, relative to what calls with its work take; the unit is that of all calls
		// of the service.
		Ratio float64
	}

	// Upstream is what is known of the speed of an upstream.
	Upstream struct {
		key        Key
		slots      int
		fast, slow window
		// recent and usual describe the windows, usual as of usualAt.
		recent, usual summary
		usualAt       time.Time
		// latest is the deviation of the last call from the usual one of this upstream, at lastCall.
		latest   float64
		lastCall time.Time
		// linkChanges are those of the link that fast has seen.
		linkChanges int
		peers       map[spoke.HostID]peerEvidence
		// ownFast and ownSlow are what this host has seen, relative to the reference.
		ownFast, ownSlow evidence
		// seenAt is when this host has last seen a call, evidenceAt when any host has.
		seenAt, evidenceAt time.Time
		isJudged           bool
		// suspectedAt is when recent calls began to differ, zero if they do not.
		suspectedAt  time.Time
		changedSince time.Time
		deviation    float64
		// level is the ratio of the reference, as a logarithm.
		level  float64
		takes  takes
		sentAt time.Time
	}

	// Service estimates the speeds of the upstreams of one service, as seen by one host.
	Service struct {
		upstreams []*Upstream
		// noise is the standard deviation of the logarithm of a call's ratio.
		noise    float64
		expected expected
		// isQueued is set if calls wait behind each other, so that those that follow each other are slow together.
		isQueued bool
		judgedAt time.Time
		link     *Link
	}
)

// NewService returns an estimator without upstreams. The link is that of the host, shared by all services.
func NewService(link *Link) *Service { return &Service{noise: minNoise, link: link} }

// NewUpstream returns an upstream that counts as equal to the others.
func NewUpstream(key Key, slots int) *Upstream {
	return &Upstream{
		key: key, slots: max(slots, 1), peers: make(map[spoke.HostID]peerEvidence), takes: newTakes(slots),
		fast: newWindow(fastSize, fastLife), slow: newWindow(slowSize, slowLife),
	}
}

// Tag returns a short hash of the start and the software version of the upstream.
func (u *Upstream) Tag() spoke.SpeedTag {
	started := ""
	if !u.key.Started.IsZero() {
		// Entries and reports carry milliseconds.
		started = u.key.Started.UTC().Format("2006-01-02T15:04:05.000")
	}
	return spoke.SpeedTag(xxhash.Sum64String(started + "/" + string(u.key.Software)))
}

// Key returns what identifies the upstream.
func (u *Upstream) Key() Key { return u.key }

// SetSlots sets the number of calls that the upstream runs at once.
func (u *Upstream) SetSlots(slots int) {
	u.slots = max(slots, 1)
	u.takes.slots = float64(u.slots)
}

// Differs reports whether the upstream was found to differ from the others, so that Pace and Takes apply.
func (u *Upstream) Differs() bool { return u.isJudged || !u.takes.isAll() }

// Pace is the time of the upstream's calls relative to those of a usual upstream of the service, 1 if it does not
// differ.
func (u *Upstream) Pace() float64 {
	if !u.isJudged {
		return 1
	}
	return min(max(math.Exp(u.deviation), 1/maxPace), maxPace)
}

// Takes is the number of calls that the upstream takes well, at most its slots.
func (u *Upstream) Takes() int {
	if u.takes.isAll() {
		return u.slots
	}
	return min(max(int(u.takes.calls), 1), u.slots)
}

// Ratio is the expected ratio of the upstream's calls, in the unit of Call.Ratio: its pace times that of the reference.
func (u *Upstream) Ratio() float64 {
	return min(max(u.Pace()*math.Exp(u.level), 1/maxPace), maxPace)
}

// LastSeen is when this or another host has last seen a call of the upstream.
func (u *Upstream) LastSeen() time.Time { return u.evidenceAt }

// SetUpstreams sets the upstreams that are compared with each other. A new one with a software version all of whose
// others differ starts with their mean speed.
func (s *Service) SetUpstreams(upstreams []*Upstream) {
	for _, u := range upstreams {
		if !slices.Contains(s.upstreams, u) {
			u.startAs(s.upstreams)
		}
	}
	s.upstreams = slices.Clone(upstreams)
}

// startAs takes over the mean speed of the upstreams with the same software version, if at least two differ and none
// does not.
func (u *Upstream) startAs(others []*Upstream) {
	sum, count, sample := 0.0, 0, time.Time{}
	for _, other := range others {
		if other.key.Software == u.key.Software && other.key != u.key && other.usual.weight >= minSlowCalls {
			if !other.isJudged {
				return
			}
			sum, count = sum+other.deviation, count+1
			if other.evidenceAt.After(sample) {
				sample = other.evidenceAt
			}
		}
	}
	if u.key.Software != "" && count >= 2 {
		u.isJudged, u.deviation, u.evidenceAt = true, sum/float64(count), sample
	}
}

// Observe adds a call that this host has sent directly to an upstream. Calls through other hosts must not be added.
func (s *Service) Observe(now time.Time, u *Upstream, call Call) {
	if call.Ratio <= 0 || math.IsInf(call.Ratio, 0) || math.IsNaN(call.Ratio) {
		return
	}
	value := math.Log(call.Ratio)
	if call.Work > 0 {
		value, s.isQueued = s.expected.observe(call.Work, value), true
	}
	if u.usual.weight >= minFastCalls {
		value = min(max(value, u.usual.deviation-callLimit), u.usual.deviation+callLimit)
		u.latest, u.lastCall = value-u.usual.deviation, now
	}
	if s.link.observe(now, u) {
		return
	}
	u.seenAt, u.evidenceAt = now, now
	u.forgetRecent(s.link)
	u.fast.add(sample{now, value, call.Load})
	// A change of some seconds must not shift what is usual, or the upstream would count as slow after it.
	if !u.isChanged() {
		u.slow.add(sample{now, value, call.Load})
	}
}

// forgetRecent drops the recent calls from before the last change of the host's link.
func (u *Upstream) forgetRecent(link *Link) {
	if u.linkChanges != link.changes {
		u.fast.clear()
		u.linkChanges = link.changes
	}
}

func (u *Upstream) isChanged() bool { return !u.changedSince.IsZero() }

// noiseOf is the standard error of one call of an upstream.
func (s *Service) noiseOf(u *Upstream) float64 {
	noise := quantileError * max(s.noise, u.usual.noise)
	if s.isQueued {
		noise *= queuedNoise
	}
	return noise
}

// changeFrom is the deviation from which recent calls differ, and the number of standard errors that it must exceed.
func (s *Service) changeFrom() (deviation, errors float64) {
	if s.isQueued {
		return queuedFrom, queuedErrors
	}
	return fastFrom, fromErrors
}
