package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// watchWait is short, since a watch that waits may miss changes or be cut without a sign,
	// and a new table has to be in force within two seconds.
	watchWait = 900 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// returnTime is the time after an outage in which entries that lapsed come back.
	returnTime = 2 * time.Second
)

type (
	// follower keeps up with the directory.
	follower struct {
		directory spoke.Directory
		timer     spoke.Timer
		known     *knowledge
		log       logrus.FieldLogger
		// gap is the pause between two answers of the watch, in which changes gather.
		gap   time.Duration
		apply func(spoke.DirectoryChange)

		lostSince time.Time
		// lapsedUntil is when entries that are missing after an outage count as gone.
		lapsedUntil time.Time
		backoff     time.Duration
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
		change, err := f.directory.Watch(ctx, revision, f.wait())
		switch {
		case errors.Is(err, spoke.ErrHistoryGone):
			f.log.WithField("revision", revision).Info("history of the directory is gone, reading it again")
			return
		case err != nil:
			f.failed(ctx, err)
			continue
		}
		f.reached(change)
		revision = change.Revision
		if f.isSettling() && !f.timer.Now().Before(f.lapsedUntil) {
			f.lapsedUntil = time.Time{}
			return
		}
		f.pause(ctx, f.gap)
	}
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
	f.known.confirm()
	f.backoff = 0
	if !f.lostSince.IsZero() {
		f.log.WithField("lost-for", f.timer.Now().Sub(f.lostSince).String()).Info("directory regained")
		f.lostSince = time.Time{}
		f.lapsedUntil = f.timer.Now().Add(returnTime)
	}
	for _, fault := range change.Faults {
		f.log.WithError(fault.Err).WithField("key", fault.Key).Warn("entry of the directory ignored")
	}
	if f.isSettling() {
		change = f.keepLapsed(change)
	}
	f.apply(change)
}

// keepLapsed leaves out removals that an outage alone may have caused.
func (f *follower) keepLapsed(change spoke.DirectoryChange) spoke.DirectoryChange {
	if f.timer.Now().Before(f.lapsedUntil) {
		change.KeepsUpstreams = true
		change.GoneUpstreams = nil
	}
	return change
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.lostSince.IsZero() {
		f.lostSince = f.timer.Now()
		f.log.WithError(err).Warn("directory lost")
	}
	f.backoff = min(max(2*f.backoff, firstBackoff), longestBackoff)
	f.pause(ctx, f.backoff)
}

func (f *follower) pause(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	wait := f.timer.After(pause)
	defer wait.Stop()
	select {
	case <-wait.C():
	case <-ctx.Done():
	}
}
