package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	feedPath = "/changes"
	// maxFeedEntries and maxFeedBytes bound the changes that a host keeps for others; a host that lags
	// further behind reads the directory itself.
	maxFeedEntries = 32
	maxFeedBytes   = 512 << 10
)

type (
	// feedEntry is one change of the directory, as it was received from there.
	feedEntry struct {
		// after is the revision before the change, revision the one that includes it.
		after    spoke.Revision
		revision spoke.Revision
		raw      []byte
		// seenAt is when this host received the change, initialAge how long before that it may have been
		// made.
		seenAt     time.Time
		initialAge time.Duration
	}

	// feedState is what a host publishes of the directory; it is immutable once published.
	feedState struct {
		// completeFrom is the revision from which the entries are complete.
		completeFrom spoke.Revision
		revision     spoke.Revision
		// completeAt is the time up to which the host has received all changes.
		completeAt time.Time
		// isLost is set while this host cannot reach the directory, or waits for entries that expired
		// during an outage, so that others must read the directory themselves.
		isLost  bool
		entries []feedEntry
		// replaced is closed when a newer state is published.
		replaced chan struct{}
	}

	// feed publishes changes of the directory to other hosts, so that not all of them call the
	// platform's store. One task publishes and all may read.
	feed struct {
		state atomic.Pointer[feedState]
		conf  *configState
		now   func() time.Time
		log   logrus.FieldLogger
		// metrics counts the bytes sent to other hosts.
		metrics *metrics
	}
)

func newFeed(conf *configState, now func() time.Time, log logrus.FieldLogger, metrics *metrics) *feed {
	f := &feed{conf: conf, now: now, log: log, metrics: metrics}
	f.state.Store(&feedState{isLost: true, replaced: make(chan struct{})})
	return f
}

// maxAge returns how long before a time the change may have been made.
func (e feedEntry) maxAge(now time.Time) time.Duration { return e.initialAge + now.Sub(e.seenAt) }

// restart starts an empty feed at a revision at which the whole directory was read.
func (f *feed) restart(revision spoke.Revision, completeAt time.Time) {
	f.publish(&feedState{completeFrom: revision, revision: revision, completeAt: completeAt})
}

// markLost makes other hosts read the directory themselves until this host follows it again.
func (f *feed) markLost() {
	next := *f.state.Load()
	if !next.isLost {
		next.isLost = true
		f.publish(&next)
	}
}

// add appends a change to the feed and publishes it with the time up to which the host is complete. A change
// without content only advances the revision and that time, or shows that this host follows the directory
// again.
func (f *feed) add(change feedEntry, completeAt time.Time) {
	previous := f.state.Load()
	next := &feedState{
		completeFrom: previous.completeFrom, revision: max(change.revision, previous.revision), completeAt: completeAt, entries: previous.entries,
	}
	if len(change.raw) > 0 && change.revision > previous.revision {
		next.entries = append(append([]feedEntry{}, previous.entries...), change)
	}
	for len(next.entries) > maxFeedEntries || sizeOf(next.entries) > maxFeedBytes {
		next.completeFrom, next.entries = next.entries[0].revision, next.entries[1:]
	}
	f.publish(next)
}

func sizeOf(all []feedEntry) int {
	size := 0
	for _, entry := range all {
		size += len(entry.raw)
	}
	return size
}

func (f *feed) publish(next *feedState) {
	next.replaced = make(chan struct{})
	close(f.state.Swap(next).replaced)
}

// since returns the entries after a revision; it returns false if some of them were dropped.
func (s *feedState) since(after spoke.Revision) ([]feedEntry, bool) {
	if after < s.completeFrom {
		return nil, false
	}
	for i, entry := range s.entries {
		if entry.revision > after {
			return s.entries[i:], true
		}
	}
	return nil, true
}

// await returns the first state that is lost or has a later revision, or the current state at the end of the wait or once
// it is too old.
func (f *feed) await(ctx context.Context, poll feedPoll) *feedState {
	ctx, cancel := context.WithTimeout(ctx, poll.wait)
	defer cancel()
	for {
		state, left := f.state.Load(), poll.maxAge-f.conf.age()
		if state.isLost || state.revision > poll.after || left <= 0 {
			return state
		}
		tooOld := time.NewTimer(left)
		select {
		case <-state.replaced:
		case <-tooOld.C:
		case <-ctx.Done():
			tooOld.Stop()
			return f.state.Load()
		}
		tooOld.Stop()
	}
}

// ServeHTTP answers another host that polls for changes.
func (f *feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := f.now()
	poll, err := parseFeedPoll(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if f.state.Load().completeFrom == 0 {
		// This host has not read the directory yet.
		w.WriteHeader(http.StatusNotFound)
		return
	}
	state := f.await(r.Context(), poll)
	if state.isLost {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	found, isComplete := state.since(poll.after)
	if !isComplete {
		w.WriteHeader(http.StatusGone)
		return
	}
	now := f.now()
	answer := feedAnswer{
		view:        spoke.DirectoryView{Revision: state.revision, Age: f.conf.age()},
		completeAge: now.Sub(state.completeAt), entries: found, held: now.Sub(received),
	}
	raw, err := encodeFeed(now, answer)
	if err != nil {
		f.log.WithError(err).Warn("changes of the directory not sent to a peer")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	sendToPeer(w, raw, f.log, f.metrics)
}

// sendToPeer sends a part of the directory to another host, which may have disconnected, and counts the bytes. They are
// counted before they are sent, so that no host has applied what is not counted yet.
func sendToPeer(w http.ResponseWriter, raw []byte, log logrus.FieldLogger, metrics *metrics) {
	metrics.addFeedBytes(len(raw))
	sent, err := w.Write(raw)
	metrics.addFeedBytes(sent - len(raw))
	if err != nil {
		log.WithError(err).Debug("changes of the directory not sent to a peer")
	}
}
