package finish

import (
	"slices"

	"magnoliaspoke.example/spoke"
)

const (
	// keptResponses is the number of recent responses of one kind that are kept.
	keptResponses = 200
	// maxKinds bounds the memory for lengths.
	maxKinds = 500
	// leastResponses is the number of responses from which a kind or a pace is known.
	leastResponses = 20
	// refreshInterval is the number of responses after which the distribution is computed again.
	refreshInterval = 8
	// unseenShare determines how many more events are expected of a stream that is longer than all that were seen, as a
	// part of those that it has.
	unseenShare = 0.25
)

type (
	// Kind identifies responses of similar length: those of a route whose expected outputs have the same size class.
	Kind struct {
		Route spoke.RouteName
		Size  int
	}

	// Events is a number of events of a stream; predictions have fractions of events.
	Events float64

	// response is the length of a response, or a lower bound of it if it is not whole.
	response struct {
		events  int32
		isWhole bool
	}

	// survivors is the fraction of responses that have more events than a number.
	survivors struct {
		events int32
		share  float64
	}

	// lengths estimates the number of events of one kind of responses by the product-limit estimator, in which an
	// unfinished stream counts as at least its events so far.
	lengths struct {
		recent []response
		next   int
		// unread counts the responses since the distribution was computed.
		unread int
		// distribution has the event counts of whole responses in ascending order.
		distribution []survivors
		longest      int32
	}
)

func (l *lengths) record(events int, isWhole bool) {
	added := response{int32(min(events, 1<<20)), isWhole}
	if len(l.recent) < keptResponses {
		l.recent = append(l.recent, added)
	} else {
		l.recent[l.next] = added
		l.next = (l.next + 1) % keptResponses
	}
	l.unread++
	if len(l.recent) >= leastResponses && (l.unread >= refreshInterval || len(l.distribution) == 0) {
		l.refresh()
	}
}

func (l *lengths) isKnown() bool { return l != nil && len(l.distribution) > 0 }

func (l *lengths) refresh() {
	l.unread = 0
	sorted := slices.Clone(l.recent)
	slices.SortFunc(sorted, func(a, b response) int { return int(a.events) - int(b.events) })
	l.distribution, l.longest = l.distribution[:0], sorted[len(sorted)-1].events
	share := 1.0
	for start := 0; start < len(sorted); {
		end, whole := start, 0
		for ; end < len(sorted) && sorted[end].events == sorted[start].events; end++ {
			if sorted[end].isWhole {
				whole++
			}
		}
		if whole > 0 {
			share *= 1 - float64(whole)/float64(len(sorted)-start)
			l.distribution = append(l.distribution, survivors{sorted[start].events, share})
		}
		start = end
	}
}

// beyond returns the fraction of responses that have more events than a number.
func (l *lengths) beyond(events Events) float64 {
	after, _ := slices.BinarySearchFunc(l.distribution, events, func(s survivors, events Events) int {
		if Events(s.events) <= events {
			return -1
		}
		return 1
	})
	if after == 0 {
		return 1
	}
	return l.distribution[after-1].share
}

// lost returns the probability that a stream has more events than fit, given that it has more than those done.
func (l *lengths) lost(done, fit Events) float64 {
	longer := l.beyond(done)
	if longer == 0 {
		// The stream is longer than all that were seen.
		return min(float64(done*unseenShare/max(fit-done, done*unseenShare, 1)), 1)
	}
	return l.beyond(max(fit, done)) / longer
}

// left returns the number of events that a stream with those done still has, in the given fraction of cases at most.
func (l *lengths) left(done Events, fraction float64) Events {
	limit := (1 - fraction) * l.beyond(done)
	for _, s := range l.distribution {
		if Events(s.events) > done && s.share <= limit {
			return Events(s.events) - done
		}
	}
	return max(Events(l.longest)-done, done*unseenShare, 1)
}
