package place

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// StoreRetryDelay is the pause after a store did not answer or was started again. It is longer than the sum of
	// StoreConfirmation, for which a follower reports a state after the store has confirmed it, and storeCopyTime, for
	// which hosts copy parts after a report, so that none of them copies a part that is being saved again. The rest is
	// for the way of the report.
	StoreRetryDelay = 4 * time.Second
	// StoreConfirmation is how long a follower reports the state of a store after it began the last call that the store
	// has answered. Two calls that wait for changes, with the pause between them, take 0.65 s.
	StoreConfirmation = 750 * time.Millisecond
	// followerLease is how long a host counts as the follower of a store after its last report of the store. Full
	// reports repeat it each second, so that a few of them may be lost.
	followerLease = 5 * time.Second
	// joinDelay is the time for which a host that knows nothing of a store waits for a report of the host that follows
	// it. Full reports come each second.
	joinDelay = 1500 * time.Millisecond
	// lossNoticeTime is how long a host repeats that a store does not answer it. It is shorter than StoreRetryDelay, so
	// that a repetition is not taken for another failure.
	lossNoticeTime = 2500 * time.Millisecond
	// failureMemory is how long failures order the hosts of a list, long enough for one attempt of each of 420 hosts.
	failureMemory = 10 * time.Minute
)

type (
	// StoreFollowing decides whether a host follows one prompt store and when it may publish what the store holds. A
	// host that follows the store keeps it until the store does not answer it, so that a host that reaches the store
	// again does not take it back.
	StoreFollowing struct {
		self spoke.HostID
		// order holds the listed hosts, this one included, in the order in which they try the store.
		order []spoke.HostID
		// joinedAt is when the list was first known.
		joinedAt time.Time
		// failedAt is when the store did not answer a host.
		failedAt map[spoke.HostID]time.Time
		// sequences holds the last report of each host that reported the store.
		sequences map[spoke.HostID]heardReport
		// isFollowing is set while this host calls the store, hasReached once the store has answered since.
		isFollowing, hasReached bool
		// follower is the other host that last reported the state of the store, empty after its loss or removal.
		follower spoke.HostID
		// reportedAt is when follower last reported the store.
		reportedAt time.Time
		// rivalSince and rivalAt are when hosts behind this one in the list first and last reported the store while this
		// one follows it.
		rivalSince, rivalAt time.Time
		// quietSince is the last time at which a host reported the store or the list of hosts changed.
		quietSince time.Time
		// epoch is the start of the store whose state was last published, zero if unknown.
		epoch spoke.StoreEpoch
		// mayHaveMissed is set once another host may have published the state of the store unheard.
		mayHaveMissed bool
		// awaited is the start of the store for which this host pauses until awaitedUntil, zero if there is none.
		awaited      spoke.StoreEpoch
		awaitedUntil time.Time
	}

	heardReport struct {
		sequence uint64
		at       time.Time
	}

	// StoreClaim is what another host reports of a store to show whether it follows the store.
	StoreClaim struct {
		Host     spoke.HostID
		Sequence uint64
		Epoch    spoke.StoreEpoch
		IsDown   bool
	}
)

// IsLoss reports whether the store does not answer the reporting host. A host that waits after a start of the store
// names its epoch.
func (c StoreClaim) IsLoss() bool { return c.IsDown && c.Epoch == 0 }

// NewStoreFollowing returns the decision of a host for a store of which nothing is known. It does not follow the store
// before SetHosts.
func NewStoreFollowing(self spoke.HostID) *StoreFollowing {
	return &StoreFollowing{
		self: self, failedAt: make(map[spoke.HostID]time.Time), sequences: make(map[spoke.HostID]heardReport),
	}
}

// SetHosts sets the listed hosts in the order in which they try the store.
func (f *StoreFollowing) SetHosts(now time.Time, order []spoke.HostID) {
	if slices.Equal(order, f.order) {
		return
	}
	if len(f.order) == 0 {
		f.joinedAt = now
	}
	f.order, f.quietSince = order, now
	for host := range f.failedAt {
		if !slices.Contains(order, host) {
			delete(f.failedAt, host)
		}
	}
	for host := range f.sequences {
		if !slices.Contains(order, host) {
			delete(f.sequences, host)
		}
	}
	if !slices.Contains(order, f.follower) {
		f.follower = ""
	}
	if !f.hasReached {
		f.isFollowing = false
	}
}

// Follows reports whether this host follows the store, and begins to do so if it is its turn. Behind the first host of
// the order, that needs reports of other hosts: a host that receives none cannot know who follows the store.
func (f *StoreFollowing) Follows(now time.Time, hearsOthers bool) bool {
	if f.isFollowing {
		return true
	}
	if !slices.Contains(f.order, f.self) || f.isFollowed(now) || f.isJoining(now) || now.Before(f.failedAt[f.self].Add(StoreRetryDelay)) {
		return false
	}
	before := f.hostsBefore(now)
	if before > 0 && (!hearsOthers || f.quietFor(now) < time.Duration(before)*followerLease) {
		return false
	}
	// Another host may follow the store unheard if this one receives no reports, or did not receive those of the hosts
	// before it.
	f.mayHaveMissed = f.mayHaveMissed || before > 0 || (!hearsOthers && len(f.order) > 1)
	f.isFollowing, f.hasReached, f.follower, f.rivalAt, f.awaited = true, false, "", time.Time{}, 0
	return true
}

// IsFollowing reports whether this host follows the store.
func (f *StoreFollowing) IsFollowing() bool { return f.isFollowing }

func (f *StoreFollowing) isFollowed(now time.Time) bool {
	return f.follower != "" && now.Sub(f.reportedAt) < followerLease
}

// isJoining reports whether the host that follows the store may not have been heard of yet.
func (f *StoreFollowing) isJoining(now time.Time) bool {
	return len(f.order) > 1 && f.epoch == 0 && now.Sub(f.joinedAt) < joinDelay
}

// quietFor returns the time since the last sign of a host that follows the store or has tried it.
func (f *StoreFollowing) quietFor(now time.Time) time.Duration {
	since := f.quietSince
	if f.follower != "" {
		since = later(since, f.reportedAt.Add(followerLease))
	}
	return now.Sub(since)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hostsBefore returns the number of hosts that try the store before this one: those that it has not failed to answer,
// then those whose failure is longer ago, and between equal ones those before it in the list.
func (f *StoreFollowing) hostsBefore(now time.Time) int {
	before, isBehind := 0, false
	own := f.failure(now, f.self)
	for _, host := range f.order {
		if host == f.self {
			isBehind = true
			continue
		}
		if failed := f.failure(now, host); failed.Before(own) || (failed.Equal(own) && !isBehind) {
			before++
		}
	}
	return before
}

func (f *StoreFollowing) failure(now time.Time, host spoke.HostID) time.Time {
	if at := f.failedAt[host]; now.Sub(at) <= failureMemory {
		return at
	}
	return time.Time{}
}

// Receive applies what another host reports of the store. Reports that arrive out of order are ignored.
func (f *StoreFollowing) Receive(now time.Time, claim StoreClaim) {
	heard := f.sequences[claim.Host]
	isOld := claim.Sequence <= heard.sequence && now.Sub(heard.at) < peerTimeout
	if isOld || claim.Host == f.self || !slices.Contains(f.order, claim.Host) {
		return
	}
	f.sequences[claim.Host], f.mayHaveMissed = heardReport{claim.Sequence, now}, true
	if claim.IsLoss() {
		f.receiveLoss(now, claim.Host)
		return
	}
	delete(f.failedAt, claim.Host)
	if f.isFollowing && !f.yieldsTo(now, claim.Host) {
		return
	}
	f.isFollowing = false
	f.follower, f.reportedAt, f.quietSince = claim.Host, now, now
	if !claim.IsDown {
		f.epoch = claim.Epoch
	}
}

func (f *StoreFollowing) receiveLoss(now time.Time, host spoke.HostID) {
	if f.follower == host {
		f.follower = ""
	}
	// The host repeats its report; it does not try again within StoreRetryDelay.
	if now.Sub(f.failedAt[host]) < StoreRetryDelay {
		return
	}
	f.failedAt[host], f.quietSince = now, now
}

// yieldsTo reports whether this host leaves the store to another one that follows it as well: at once to one before it
// in the list, to one behind it if that does not hear of this host and goes on.
func (f *StoreFollowing) yieldsTo(now time.Time, host spoke.HostID) bool {
	if slices.Index(f.order, host) < slices.Index(f.order, f.self) {
		return true
	}
	if now.Sub(f.rivalAt) >= followerLease {
		f.rivalSince = now
	}
	f.rivalAt = now
	return now.Sub(f.rivalSince) >= followerLease
}

// Lose records that the store has not answered this host, which leaves it to the next one.
func (f *StoreFollowing) Lose(now time.Time) {
	f.Stop()
	f.failedAt[f.self], f.quietSince = now, now
}

// Stop ends the following of the store without a failure of it.
func (f *StoreFollowing) Stop() { f.isFollowing = false }

// Publish reports whether this host may publish the state of an epoch of the store, or when it may. If the store has
// started again since its state was published, or that is unknown, StoreRetryDelay has to pass first. It counts from now,
// since the reports of the host that followed the store last may have been lost here and not elsewhere.
func (f *StoreFollowing) Publish(now time.Time, epoch spoke.StoreEpoch) (time.Time, bool) {
	f.hasReached = true
	if f.isAnotherStart(epoch) {
		if f.awaited != epoch {
			f.awaited, f.awaitedUntil = epoch, now.Add(StoreRetryDelay)
		}
		if now.Before(f.awaitedUntil) {
			return f.awaitedUntil, false
		}
	}
	f.epoch, f.awaited = epoch, 0
	return now, true
}

// isAnotherStart reports whether other hosts may use the state of an earlier start of the store.
func (f *StoreFollowing) isAnotherStart(epoch spoke.StoreEpoch) bool {
	if f.epoch == 0 {
		// The last follower may have been this host, before it was started again.
		return f.mayHaveMissed || len(f.order) > 1
	}
	return f.epoch != epoch
}
