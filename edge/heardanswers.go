package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
)

// heardRetention is the time for which the end of an attempt is kept.
const heardRetention = 2 * time.Second

type (
	// heardAnswer is when an upstream last sent bytes of its answer to an attempt. One attempt writes it and others read.
	heardAnswer struct {
		sentAt  time.Time
		lastAt  atomic.Int64
		isEnded atomic.Bool
	}

	// heardAnswers holds the attempts of the last moments by their upstream, for concurrent use.
	heardAnswers struct {
		mu         sync.Mutex
		byUpstream map[spoke.UpstreamID]map[*heardAnswer]struct{}
	}
)

func newHeardAnswers() *heardAnswers {
	return &heardAnswers{byUpstream: make(map[spoke.UpstreamID]map[*heardAnswer]struct{})}
}

// hear records that the upstream has sent bytes.
func (a *heardAnswer) hear() { a.lastAt.Store(int64(time.Since(activityEpoch))) }

// heardAt returns when the upstream sent the last bytes, or when the attempt began.
func (a *heardAnswer) heardAt() time.Time { return timeOf(a.lastAt.Load()) }

// add adds an attempt that begins now.
func (h *heardAnswers) add(id spoke.UpstreamID, now time.Time) *heardAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byUpstream[id] == nil {
		h.byUpstream[id] = make(map[*heardAnswer]struct{})
	}
	answer := &heardAnswer{sentAt: now}
	answer.hear()
	h.byUpstream[id][answer] = struct{}{}
	return answer
}

// lastHeardElsewhere returns when the upstream last sent bytes to another attempt that was sent before a time, the zero time if
// there is none. Bytes to a later one may come from another start of the upstream.
func (h *heardAnswers) lastHeardElsewhere(id spoke.UpstreamID, own *heardAnswer, before time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for answer := range h.byUpstream[id] {
		heardAt := answer.heardAt()
		if answer != own && answer.sentAt.Before(before) && heardAt.After(last) {
			last = heardAt
		}
	}
	return last
}

// sweep drops attempts that ended some time ago.
func (h *heardAnswers) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, answers := range h.byUpstream {
		for answer := range answers {
			if answer.isEnded.Load() && now.Sub(answer.heardAt()) > heardRetention {
				delete(answers, answer)
			}
		}
		if len(answers) == 0 {
			delete(h.byUpstream, id)
		}
	}
}
