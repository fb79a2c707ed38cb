package warm

import "time"

// healthInterval is the time between two health requests of all hosts to an upstream that is cold, which may restart
// meanwhile without being noticed by calls. A host with a higher rank sends one only if those before it have sent none for
// as many intervals.
const healthInterval = time.Second

// Asked records when this host or another one sent a health request.
func (s *State) Asked(at time.Time) {
	if at.After(s.askedAt) {
		s.askedAt = at
	}
}

// AskedAt returns when the last known health request was sent, zero if none is known.
func (s *State) AskedAt() time.Time { return s.askedAt }

// MustAsk reports whether the host with a rank among those that use the upstream has to send a health request now.
func (s *State) MustAsk(now time.Time, rank int) bool {
	if rank < 0 || !s.IsCold(now) {
		return false
	}
	since := s.askedAt
	if rank > 0 && s.At.After(since) {
		since = s.At
	}
	return now.Sub(since) >= time.Duration(rank+1)*healthInterval
}
