package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// maxWatchWait is short, since a waiting watch may miss changes or be cut off unnoticed, and a new
	// table has to be in force within two seconds.
	maxWatchWait = 900 * time.Millisecond
	// directWatchTime is how long this host watches the directory itself after the hosts that watch it
	// for others could not be polled.
	directWatchTime = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// firstEra is the era of a directory that has never returned from an older copy.
	firstEra spoke.Era = 1
	// provisionalWatchWait is short, so that a table of another host is soon in force.
	provisionalWatchWait = 50 * time.Millisecond
	// checkWait is the wait of a call that checks whether this host reaches the directory.
	checkWait = time.Millisecond
	// maxCheckTime is the time after which an answer to such a call shows an outage.
	maxCheckTime = time.Second
	// settlingTime is the time after an outage within which expired entries are announced again.
	settlingTime = 2 * time.Second
)

type (
	// follower keeps this host up to date with the directory, directly or through hosts that watch it
	// for others.
	follower struct {
		directory spoke.Directory
		timer     spoke.Timer
		// boot is the clock of ages of changes; it also advances while the machine is suspended.
		boot spoke.Timer
		conf *configState
		log  logrus.FieldLogger
		// batchDelay is the pause between two watches, so that changes are batched.
		batchDelay time.Duration
		apply      func(spoke.DirectoryChange)
		// feed publishes changes to other hosts, client polls their feeds.
		feed   *feed
		client *feedClient
		// contents holds the large values of the directory, contentClient gets them from other hosts.
		contents      *contents
		contentClient *contentClient
		// newer receives revisions that a peer has and this host does not.
		newer chan spoke.Revision
		// offered receives tables that other hosts have in force.
		offered chan spoke.DirectoryChange
		// hasRead is closed once the directory has first been read.
		hasRead  chan struct{}
		readOnce sync.Once
		// isDirect is set while this host watches the directory itself.
		isDirect atomic.Bool

		lostSince time.Time
		// isChecking is set while others report a loss of the directory, or a watch was cut, and this host has not
		// called the directory itself since.
		isChecking bool
		// isBehind is set while a call was ended for a later revision of another host and the directory has not answered
		// since.
		isBehind bool
		// changeAge bounds the age of changes.
		changeAge place.ChangeAge
		// latestEntries recognizes outdated entries of upstreams.
		latestEntries place.LatestEntries
		// era is the one of the last snapshot, zero before the first.
		era spoke.Era
		// settlingUntil is when entries that are missing after an outage count as removed.
		settlingUntil time.Time
		// directUntil is when this host may poll other hosts again.
		directUntil time.Time
		backoff     time.Duration
		// isCatchingUp is set from the report of a later revision until the check after catchUpTime.
		isCatchingUp atomic.Bool
	}

	// referencedChange is a change with a large value that this host does not have yet.
	referencedChange struct {
		reference spoke.ContentReference
		change    spoke.DirectoryChange
	}
)

// run follows the directory until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := f.boot.Now()
		change, err := f.directory.Read(ctx)
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		now := f.boot.Now()
		change.MaxAge, change.ReceivedAt = f.changeAge.OfSnapshot(now), now
		f.changeAge.CompleteSnapshot(asked)
		f.conf.prove(place.ProvenByRead(asked))
		f.readOnce.Do(func() { close(f.hasRead) })
		f.observeEra(change.Revision.Era(), len(change.Peers) > 0)
		f.handleAnswer(change)
		f.watch(ctx, change.Revision)
	}
	return ctx.Err()
}

// observeEra notices that the directory has returned from an older copy. Until others have written again what it has
// lost, its entries may be outdated or missing. A started host cannot know when that was, and asks others.
func (f *follower) observeEra(era spoke.Era, hasPeers bool) {
	if f.era == 0 && era > firstEra && hasPeers {
		f.conf.beginProvisional()
	}
	if f.era != 0 && era > f.era {
		f.log.WithFields(logrus.Fields{"era": era, "before": f.era}).Warn("directory returned from an older copy")
		f.feed.markLost()
		f.conf.recordReturn()
		f.settlingUntil = f.timer.Now().Add(settlingTime)
		f.latestEntries.Return(f.timer.Now())
	}
	f.era = max(f.era, era)
}

// watch applies changes until the whole directory has to be read again.
func (f *follower) watch(ctx context.Context, revision spoke.Revision) {
	for ctx.Err() == nil {
		f.conf.revision.Store(uint64(revision))
		f.applyOffered()
		f.isDirect.Store(!f.mayPollPeers(revision))
		if !f.isDirect.Load() {
			revision = f.pollPeers(ctx, revision)
			continue
		}
		asked, wait := f.boot.Now(), f.watchTimeout()
		change, isCut, err := f.watchOnce(ctx, revision, wait)
		f.isBehind = isCut
		switch {
		case isCut:
			f.log.WithError(err).WithField("revision", revision).Info("watch of the directory ended, since another host has a later revision")
			continue
		case errors.Is(err, spoke.ErrWatchCut) && !f.isChecking:
			f.isChecking = true
			f.log.WithError(err).Info("watch of the directory was cut, checking whether it can be reached")
			continue
		case errors.Is(err, spoke.ErrHistoryGone):
			f.log.WithField("revision", revision).Info("changes after this revision are no longer available, reading the whole directory again")
			return
		case err != nil:
			f.handleFailure(ctx, err)
			continue
		}
		change.ReceivedAt = f.boot.Now()
		change.MaxAge = f.recordAnswer(asked, change.ReceivedAt)
		f.conf.prove(place.ProvenByWatch(asked, change.ReceivedAt, wait, change.Revision > revision))
		f.endCheck(asked, change.ReceivedAt)
		f.handleAnswer(change)
		f.publish(revision, change)
		revision = change.Revision
		if f.isSettling() && !f.timer.Now().Before(f.settlingUntil) {
			f.settlingUntil = time.Time{}
			return
		}
		timer.Wait(ctx, f.timer, f.batchDelay)
	}
}

// applyOffered applies a table that another host has in force, if there is one.
func (f *follower) applyOffered() {
	select {
	case change := <-f.offered:
		f.applyChange(change)
		f.conf.endProvisional()
	default:
	}
}

// mayPollPeers reports whether other hosts are polled in place of the directory itself.
func (f *follower) mayPollPeers(revision spoke.Revision) bool {
	// A started host that waits for the tables of others has to apply them at once.
	if !f.client.hasSources() || f.conf.isProvisional() || f.isBehind || !f.lostSince.IsZero() || f.isSettling() || f.timer.Now().Before(f.directUntil) {
		return false
	}
	select {
	case ahead := <-f.newer:
		return ahead <= revision
	default:
		return true
	}
}

// pollPeers waits for changes at hosts that watch the directory and returns the revision up to which
// this host is up to date.
func (f *follower) pollPeers(ctx context.Context, revision spoke.Revision) spoke.Revision {
	asked := f.boot.Now()
	answer, err := f.client.poll(ctx, revision)
	if err != nil {
		// That others cannot reach the directory does not show that this host cannot.
		f.isChecking = errors.Is(err, errFeedLost)
		if ctx.Err() == nil {
			f.log.WithError(err).Info("no usable answer from other hosts, watching the directory directly")
		}
		f.directUntil = f.timer.Now().Add(directWatchTime)
		return revision
	}
	paused := f.conf.recentPause()
	references := make(map[string]referencedChange)
	last := revision
	for _, entry := range answer.entries {
		if entry.revision <= last {
			// This host has followed the directory itself meanwhile.
			continue
		}
		change, err := f.directory.Decode(entry.raw)
		if err != nil {
			f.log.WithError(err).Warn("invalid change of the directory from a peer ignored")
			f.directUntil = f.timer.Now().Add(directWatchTime)
			return revision
		}
		change.Revision = entry.revision
		change.MaxAge, change.ReceivedAt = f.changeAge.OfReport(asked, answer.receivedAt, entry.initialAge, paused), answer.receivedAt
		f.applyChange(change)
		f.publish(last, change)
		last = entry.revision
		for _, reference := range change.References {
			references[reference.Key] = referencedChange{reference, change}
		}
	}
	if err := f.applyReferences(ctx, references); err != nil {
		if ctx.Err() == nil {
			f.log.WithError(err).Info("large value of the directory not received from other hosts, watching the directory directly")
		}
		f.directUntil = f.timer.Now().Add(directWatchTime)
		return revision
	}
	f.conf.revision.Store(uint64(last))
	f.changeAge.CompleteReport(asked, answer.receivedAt, answer.completeAge, paused)
	if answer.view.Revision <= last {
		f.conf.prove(answer.provenAt)
	}
	return last
}

// applyReferences applies the newest large value of each entry that other hosts have reported.
func (f *follower) applyReferences(ctx context.Context, references map[string]referencedChange) error {
	for _, newest := range references {
		change, err := f.contentClient.fetchFromSources(ctx, newest.reference)
		if err != nil {
			return err
		}
		reported := newest.change
		change.Revision, change.MaxAge, change.ReceivedAt = reported.Revision, reported.MaxAge, reported.ReceivedAt
		f.applyChange(change)
	}
	return nil
}

// publish adds a change that this host has seen to its feed.
func (f *follower) publish(after spoke.Revision, change spoke.DirectoryChange) {
	if f.isSettling() {
		return
	}
	entry := feedEntry{after: after, revision: change.Revision, raw: change.Raw, seenAt: change.ReceivedAt, initialAge: change.MaxAge}
	f.feed.add(entry, f.changeAge.CompleteAt())
}

// recordAnswer returns the maximum age of the changes in an answer to a watch, and records that they have been
// received.
func (f *follower) recordAnswer(asked, now time.Time) time.Duration {
	paused := f.conf.recentPause()
	defer f.changeAge.CompleteAnswer(asked, now, paused)
	return f.changeAge.OfAnswer(asked, now, paused)
}

// watchTimeout returns how long the next watch waits. It is short while expired entries may be
// announced again, so that the whole directory is read soon after.
func (f *follower) watchTimeout() time.Duration {
	if f.isChecking || f.isBehind {
		return checkWait
	}
	if f.isSettling() {
		return max(f.settlingUntil.Sub(f.timer.Now()), time.Millisecond)
	}
	if f.conf.isProvisional() {
		return provisionalWatchWait
	}
	// A watch that ends with a change proves less than its wait, so that the next one has to end sooner.
	return min(maxWatchWait, max(maxWatchWait+f.batchDelay-f.conf.age(), checkWait))
}

// endCheck ends a check with its answer. A late one has outlasted an outage.
func (f *follower) endCheck(asked, now time.Time) {
	if f.isChecking && f.lostSince.IsZero() && now.Sub(asked) > maxCheckTime {
		f.lostSince = f.timer.Now().Add(asked.Sub(now))
		f.log.WithField("took", now.Sub(asked).String()).Warn("directory lost")
	}
	f.isChecking = false
}

func (f *follower) isSettling() bool { return !f.settlingUntil.IsZero() }

func (f *follower) handleAnswer(change spoke.DirectoryChange) {
	f.backoff = 0
	f.contents.add(change.Contents...)
	if change.IsSnapshot && f.lostSince.IsZero() && !f.isSettling() {
		f.feed.restart(change.Revision, f.changeAge.CompleteAt())
	}
	if !f.lostSince.IsZero() {
		f.log.WithField("lost-for", f.timer.Now().Sub(f.lostSince).String()).Info("directory regained")
		f.lostSince = time.Time{}
		f.settlingUntil = f.timer.Now().Add(settlingTime)
	}
	f.applyChange(change)
}

// applyChange logs invalid entries and applies a change. Until settlingUntil it leaves out removals of
// upstreams, and always their outdated entries.
func (f *follower) applyChange(change spoke.DirectoryChange) {
	for _, invalid := range change.InvalidRecords {
		f.log.WithError(invalid.Err).WithField("key", invalid.Key).Warn("directory entry ignored")
	}
	if f.isSettling() {
		change = f.withoutRemovals(change)
	}
	f.apply(f.latestEntries.Update(f.timer.Now(), change))
}

// withoutRemovals drops removals of upstreams and hosts from a change until settlingUntil, since their entries
// may merely have expired during an outage, or may not have been written again yet.
func (f *follower) withoutRemovals(change spoke.DirectoryChange) spoke.DirectoryChange {
	if f.timer.Now().Before(f.settlingUntil) {
		change.KeepsUnlisted = true
		change.RemovedUpstreams, change.RemovedPeers = nil, nil
	}
	return change
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.feed.markLost()
	if f.lostSince.IsZero() {
		f.lostSince = f.timer.Now()
		f.log.WithError(err).Warn("directory lost")
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	timer.Wait(ctx, f.timer, f.backoff)
}
