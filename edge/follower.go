package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// watchWait is short, since a watch that waits may miss changes or be cut without a sign,
	// and a new table has to be in force within two seconds.
	watchWait = 900 * time.Millisecond
	// behindTime is how long a host may lag behind what a neighbour knows before it calls again.
	behindTime = 250 * time.Millisecond
	// directTime is how long a host watches the directory itself after those that watch it for others
	// could not be asked.
	directTime = time.Second
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// returnTime is the time after an outage in which entries that lapsed come back.
	returnTime = 2 * time.Second
)

type (
	// follower keeps up with the directory, by itself or through hosts that watch it for others.
	follower struct {
		directory spoke.Directory
		timer     spoke.Timer
		known     *knowledge
		log       logrus.FieldLogger
		// gap is the pause between two answers of the watch, in which changes gather.
		gap   time.Duration
		apply func(spoke.DirectoryChange)
		// feed tells other hosts, client asks them.
		feed   *feed
		client *feedClient
		// behind receives a revision that a neighbour knows and this host does not.
		behind chan spoke.Revision
		// isDirect says that this host watches the directory itself.
		isDirect atomic.Bool

		lostSince time.Time
		// answered is when the directory last answered this host.
		answered time.Time
		// lapsedUntil is when entries that are missing after an outage count as gone.
		lapsedUntil time.Time
		// directUntil is the end of the time in which this host asks no others.
		directUntil time.Time
		backoff     time.Duration
		isChecking  atomic.Bool
	}
)

// run follows the directory until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		change, err := f.directory.Read(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.reached(change)
		f.watch(ctx, change.Revision)
	}
	return ctx.Err()
}

// watch passes on changes until the directory has to be read again.
func (f *follower) watch(ctx context.Context, revision spoke.Revision) {
	for ctx.Err() == nil {
		f.known.revision.Store(uint64(revision))
		f.isDirect.Store(!f.mayAsk(revision))
		if !f.isDirect.Load() {
			revision = f.askOthers(ctx, revision)
			continue
		}
		change, isCut, err := f.watchOnce(ctx, revision)
		switch {
		case isCut:
			continue
		case errors.Is(err, spoke.ErrHistoryGone):
			f.log.WithField("revision", revision).Info("history of the directory is gone, reading it again")
			return
		case err != nil:
			f.failed(ctx, err)
			continue
		}
		f.reached(change)
		f.publish(revision, change)
		revision = change.Revision
		if f.isSettling() && !f.timer.Now().Before(f.lapsedUntil) {
			f.lapsedUntil = time.Time{}
			return
		}
		timer.Wait(ctx, f.timer, f.gap)
	}
}

// mayAsk reports whether other hosts are asked in place of the directory itself.
func (f *follower) mayAsk(revision spoke.Revision) bool {
	if !f.client.hasSources() || !f.lostSince.IsZero() || f.isSettling() || f.timer.Now().Before(f.directUntil) {
		return false
	}
	select {
	case ahead := <-f.behind:
		return ahead <= revision
	default:
		return true
	}
}

// askOthers waits for changes at hosts that watch the directory and returns the revision up to which
// this host knows it.
func (f *follower) askOthers(ctx context.Context, revision spoke.Revision) spoke.Revision {
	answer, err := f.client.ask(ctx, revision)
	switch {
	case errors.Is(err, errFeedLost):
		f.failed(ctx, err)
		return revision
	case err != nil:
		if ctx.Err() == nil {
			f.log.WithError(err).Info("directory watched by this host itself")
		}
		f.directUntil = f.timer.Now().Add(directTime)
		return revision
	}
	for _, told := range answer.news {
		change, err := f.directory.Decode(told.raw)
		if err != nil {
			f.log.WithError(err).Warn("news of the directory ignored")
			f.directUntil = f.timer.Now().Add(directTime)
			return revision
		}
		change.Revision = told.revision
		change.MaxAge = f.missed()
		if told.missed > longestStep {
			change.MaxAge = max(change.MaxAge, told.missed)
		}
		f.take(change)
		f.publish(revision, change)
		revision = told.revision
		f.known.revision.Store(uint64(revision))
	}
	f.known.confirmBy(answer.view)
	return revision
}

// publish tells other hosts of a change that this host has seen.
func (f *follower) publish(after spoke.Revision, change spoke.DirectoryChange) {
	if f.isSettling() {
		return
	}
	f.feed.add(news{after: after, revision: change.Revision, raw: change.Raw, seen: f.timer.Now(), missed: change.MaxAge})
}

// watchOnce waits for changes; the wait is cut when this host turns out to be behind others.
func (f *follower) watchOnce(ctx context.Context, revision spoke.Revision) (change spoke.DirectoryChange, isCut bool, err error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	cut := make(chan bool, 1)
	go func() { cut <- f.awaitBehind(revision, done, cancel) }()
	change, err = f.directory.Watch(callCtx, revision, f.wait())
	close(done)
	return change, <-cut && err != nil && !errors.Is(err, spoke.ErrHistoryGone), err
}

// awaitBehind ends a wait when a neighbour knows a later revision, and reports whether it did.
func (f *follower) awaitBehind(revision spoke.Revision, done <-chan struct{}, end func()) bool {
	for {
		select {
		case ahead := <-f.behind:
			if ahead > revision {
				end()
				return true
			}
		case <-done:
			return false
		}
	}
}

// hear takes what a neighbour knows of the directory and calls again if it stays ahead.
func (f *follower) hear(view spoke.DirectoryView) {
	f.known.confirmBy(view)
	if uint64(view.Revision) <= f.known.revision.Load() || !f.isChecking.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(behindTime, func() {
		f.isChecking.Store(false)
		if uint64(view.Revision) > f.known.revision.Load() {
			select {
			case f.behind <- view.Revision:
			default:
			}
		}
	})
}

// wait is short while entries may come back, so that the whole directory is read soon after.
func (f *follower) wait() time.Duration {
	if f.isSettling() {
		return max(f.lapsedUntil.Sub(f.timer.Now()), time.Millisecond)
	}
	return watchWait
}

func (f *follower) isSettling() bool { return !f.lapsedUntil.IsZero() }

func (f *follower) reached(change spoke.DirectoryChange) {
	change.MaxAge = f.missed()
	f.answered = f.timer.Now()
	f.known.confirm()
	f.backoff = 0
	if change.IsSnapshot && f.lostSince.IsZero() && !f.isSettling() {
		f.feed.restart(change.Revision)
	}
	if !f.lostSince.IsZero() {
		f.log.WithField("lost-for", f.timer.Now().Sub(f.lostSince).String()).Info("directory regained")
		f.lostSince = time.Time{}
		f.lapsedUntil = f.timer.Now().Add(returnTime)
	}
	f.take(change)
}

// take applies a change, without removals that an outage alone may have caused.
func (f *follower) take(change spoke.DirectoryChange) {
	for _, fault := range change.InvalidRecords {
		f.log.WithError(fault.Err).WithField("key", fault.Key).Warn("entry of the directory ignored")
	}
	if f.isSettling() {
		change = f.keepLapsed(change)
	}
	f.apply(change)
}

// missed returns how long before this answer a change may have been made without being seen.
func (f *follower) missed() time.Duration {
	if !f.lostSince.IsZero() && !f.answered.IsZero() {
		return f.timer.Now().Sub(f.answered)
	}
	return f.known.paused()
}

// keepLapsed leaves out removals that an outage alone may have caused.
func (f *follower) keepLapsed(change spoke.DirectoryChange) spoke.DirectoryChange {
	if f.timer.Now().Before(f.lapsedUntil) {
		change.KeepsUnlistedUpstreams = true
		change.RemovedUpstreams = nil
	}
	return change
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.feed.lose()
	if f.lostSince.IsZero() {
		f.lostSince = f.timer.Now()
		f.log.WithError(err).Warn("directory lost")
	}
	f.backoff = min(max(2*f.backoff, firstBackoff), longestBackoff)
	timer.Wait(ctx, f.timer, f.backoff)
}
