package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	feedPath  = "/directory"
	feedAfter = "after"
	feedWait  = "wait-ms"
	// mostNews and newsSize bound what a host keeps for others; one that lags further reads the
	// directory itself.
	mostNews = 32
	newsSize = 512 << 10
	// longestFeedWait bounds how long a question waits for news.
	longestFeedWait = 2 * time.Second
)

type (
	// news is one change of the directory, as the directory gave it.
	news struct {
		after    spoke.Revision
		revision spoke.Revision
		raw      []byte
		// seen is when this host saw the change, missed how long before that it may have been made.
		seen   time.Time
		missed time.Duration
	}

	// feedState is what a host can tell others of the directory; it never changes once it is published.
	feedState struct {
		// begin is the revision from which the news are complete.
		begin    spoke.Revision
		revision spoke.Revision
		// isLost says that this host has lost the directory or waits for entries that lapsed meanwhile,
		// so that others must look for themselves.
		isLost bool
		news   []news
		// replaced is closed when a newer state is published.
		replaced chan struct{}
	}

	// feed tells other hosts of changes of the directory, so that not all of them call the platform's
	// store. One task publishes, and all may read.
	feed struct {
		state atomic.Pointer[feedState]
		known *knowledge
		now   func() time.Time
		log   logrus.FieldLogger
	}
)

func newFeed(known *knowledge, now func() time.Time, log logrus.FieldLogger) *feed {
	f := &feed{known: known, now: now, log: log}
	f.state.Store(&feedState{isLost: true, replaced: make(chan struct{})})
	return f
}

// missedBy returns how long before a time the change may have been made.
func (n news) missedBy(now time.Time) time.Duration { return n.missed + now.Sub(n.seen) }

// restart begins anew at a revision at which the whole directory was read.
func (f *feed) restart(revision spoke.Revision) {
	f.publish(&feedState{begin: revision, revision: revision})
}

// lose tells others to look for themselves until the directory is followed again.
func (f *feed) lose() {
	next := *f.state.Load()
	if !next.isLost {
		next.isLost = true
		f.publish(&next)
	}
}

// add publishes a change that continues the last one; an empty one only shows that there was none.
func (f *feed) add(change news) {
	known := f.state.Load()
	next := &feedState{begin: known.begin, revision: max(change.revision, known.revision), news: known.news}
	if len(change.raw) > 0 && change.revision > known.revision {
		next.news = append(append([]news{}, known.news...), change)
	}
	for len(next.news) > mostNews || sizeOf(next.news) > newsSize {
		next.begin, next.news = next.news[0].revision, next.news[1:]
	}
	if known.isLost || next.revision > known.revision {
		f.publish(next)
	}
}

func sizeOf(all []news) int {
	size := 0
	for _, n := range all {
		size += len(n.raw)
	}
	return size
}

func (f *feed) publish(next *feedState) {
	next.replaced = make(chan struct{})
	close(f.state.Swap(next).replaced)
}

// since returns the news after a revision; it reports false if some of them are not kept.
func (s *feedState) since(after spoke.Revision) ([]news, bool) {
	if after < s.begin {
		return nil, false
	}
	for i, n := range s.news {
		if n.revision > after {
			return s.news[i:], true
		}
	}
	return nil, true
}

// await returns the first state that has news after a revision, or the present one at the end of the wait.
func (f *feed) await(ctx context.Context, after spoke.Revision, wait time.Duration) *feedState {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		state := f.state.Load()
		if state.isLost || state.revision > after {
			return state
		}
		select {
		case <-state.replaced:
		case <-ctx.Done():
			return f.state.Load()
		}
	}
}

// ServeHTTP answers another host that waits for news.
func (f *feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(feedAfter), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get(feedWait), 10, 32)
	if err != nil || waitErr != nil || waitMs < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, longestFeedWait)
	if f.state.Load().begin == 0 {
		// This host has not read the directory yet.
		w.WriteHeader(http.StatusNotFound)
		return
	}
	state := f.await(r.Context(), spoke.Revision(after), wait)
	if state.isLost {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	found, isComplete := state.since(spoke.Revision(after))
	if !isComplete {
		w.WriteHeader(http.StatusGone)
		return
	}
	answer := feedAnswer{view: spoke.DirectoryView{Revision: state.revision, Age: f.known.age()}, news: found}
	raw, err := encodeFeed(f.now(), answer)
	if err != nil {
		f.log.WithError(err).Warn("news of the directory not told")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(raw); err != nil {
		f.log.WithError(err).Debug("news of the directory not told")
	}
}
