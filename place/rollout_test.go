package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	rolloutStep    = 100 * time.Millisecond
	reportInterval = time.Second
	// syncTime is how long a host must have been connected before the limits are checked on it.
	syncTime = 3 * time.Second
	// schedulerLimit is the WeightsApply setting of newTestSchedulerFor.
	schedulerLimit = 6 * time.Second
	storeAddress   = spoke.Address("10.0.0.9:1")
)

type (
	// rolloutHost is a host whose directory changes and load reports can be withheld.
	rolloutHost struct {
		*testScheduler
		id        spoke.HostID
		outdated  *place.OutdatedWeights
		reclaimer *place.Reclaimer
		reported  time.Time
		// isDirectoryCut withholds the directory, isReportCut the load reports, isFrozen both and all steps.
		isDirectoryCut, isReportCut, isFrozen bool
		// connectedSince is since when nothing has been withheld, directorySeen when the host last saw the
		// directory.
		connectedSince, directorySeen time.Time
		// reportReceived is when the last load report arrived.
		reportReceived time.Time
		// pendingChanges holds the changes of the directory that the host has not seen.
		pendingChanges []func(*rolloutHost)
		// follows says that the host follows the store. Several hosts may, as when one was replaced but
		// continues.
		follows bool
	}

	activeCopy struct {
		version spoke.WeightVersion
		until   time.Time
	}

	// rollout simulates three hosts, three engines and a store during rollouts of weights.
	rollout struct {
		now     time.Time
		hosts   []*rolloutHost
		engines []spoke.ListedUpstream
		// wantedAt holds when each version became wanted; that of version n+2 is at index n.
		wantedAt []time.Time
		stored   []spoke.StoredKey
		copies   []activeCopy
		freed    map[spoke.WeightVersion]bool
	}
)

func newRollout(t *testing.T) *rollout {
	r := &rollout{now: time.Unix(1000, 0), freed: make(map[spoke.WeightVersion]bool)}
	for i := range 3 {
		r.engines = append(r.engines, engine(i))
	}
	for i := range 3 {
		id := spoke.HostID(fmt.Sprint("host-", i))
		host := &rolloutHost{
			testScheduler: newTestSchedulerFor(t, id, 3), id: id, outdated: place.NewOutdatedWeights(schedulerLimit), reclaimer: place.NewReclaimer(),
			connectedSince: r.now, directorySeen: r.now, reportReceived: r.now, follows: i == 0,
		}
		host.outdated.SetUpstreams(true, r.engines, nil)
		r.hosts = append(r.hosts, host)
	}
	r.save(1)
	return r
}

func (r *rollout) newest() spoke.WeightVersion { return spoke.WeightVersion(len(r.wantedAt) + 1) }

// save adds a part computed with a version to the store.
func (r *rollout) save(version spoke.WeightVersion) {
	r.stored = append(r.stored, place.StoredKeyOf(spoke.StoredPart{Group: groupAt(version), Part: "session"}))
}

// publish queues a change of the directory for all hosts, which see it while they are not cut off.
func (r *rollout) publish(change func(*rolloutHost)) {
	for _, host := range r.hosts {
		host.pendingChanges = append(host.pendingChanges, change)
	}
}

func (r *rollout) setWanted() {
	r.wantedAt = append(r.wantedAt, r.now)
	wanted := spoke.WantedWeights{Model: model, Version: r.newest()}
	r.publish(func(host *rolloutHost) {
		host.handle(place.SetWantedWeights{Wanted: wanted, Age: host.viewAge(), IsEstimate: host.viewAge() > 0})
		host.outdated.SetWanted(host.now, wanted)
	})
}

func (r *rollout) load(i int) {
	r.engines[i].Weights = weightsOf(r.newest())
	listed := r.engines[i]
	r.save(r.newest())
	r.publish(func(host *rolloutHost) {
		host.list(listed)
		host.outdated.SetUpstreams(false, []spoke.ListedUpstream{listed}, nil)
	})
}

// viewAge returns how long the host has not received the directory.
func (h *rolloutHost) viewAge() time.Duration { return h.now.Sub(h.directorySeen) - rolloutStep }

// step advances the time by rolloutStep and returns a violated rule, empty if there is none.
func (r *rollout) step() string {
	r.now = r.now.Add(rolloutStep)
	for _, host := range r.hosts {
		host.now = r.now
		if host.isDirectoryCut || host.isReportCut || host.isFrozen {
			host.connectedSince = r.now
		}
		if host.isFrozen {
			continue
		}
		if !host.isDirectoryCut {
			for _, change := range host.pendingChanges {
				change(host)
			}
			host.pendingChanges, host.directorySeen = nil, r.now
		}
		host.handle(place.Tick{})
		if violation := r.follow(host); violation != "" {
			return violation
		}
		r.report(host)
		if violation := r.call(host); violation != "" {
			return violation
		}
	}
	return ""
}

// follow lets a host that follows the store report its state and free parts.
func (r *rollout) follow(host *rolloutHost) string {
	isIsolated := r.now.Sub(host.directorySeen) > place.IsolatedAfter && r.now.Sub(host.reportReceived) > place.IsolatedAfter
	if !host.follows || isIsolated {
		host.reclaimer.Reset()
		return ""
	}
	state := spoke.StoreState{
		Store: "store", Epoch: 7, Used: 1000, Stored: r.stored, Oldest: host.outdated.OldestUsable(host.now),
		Clock: spoke.EngineTime(r.now.UnixMilli()),
	}
	host.reclaimer.Publish(host.now, state.Oldest)
	host.handle(place.UpdateStore{State: state})
	for version := spoke.WeightVersion(1); version < r.newest(); version++ {
		if r.freed[version] || !host.reclaimer.MayFree(host.now, groupAt(version)) {
			continue
		}
		r.freed[version] = true
		for _, copied := range r.copies {
			if copied.version == version && copied.until.After(r.now) {
				return fmt.Sprintf("%s freed parts of version %d that may be copied for %s more", host.id, version, copied.until.Sub(r.now))
			}
		}
	}
	return ""
}

func (r *rollout) report(host *rolloutHost) {
	if r.now.Sub(host.reported) < reportInterval {
		return
	}
	host.reported = r.now
	report := host.scheduler.LoadReport(r.now, true)
	for _, other := range r.hosts {
		if other == host || other.isReportCut || other.isFrozen {
			continue
		}
		other.reportReceived = r.now
		for _, action := range other.handle(place.ReceiveReport{Report: report}) {
			if _, isConflict := action.(place.StoreConflict); isConflict {
				other.reclaimer.Reset()
			}
		}
	}
}

// call requests an upstream for a call at a host and checks the weights and the copies of its grant.
func (r *rollout) call(host *rolloutHost) string {
	for _, action := range host.handle(host.request(0, "session", 2000, 100)) {
		granted, ok := action.(place.Grant)
		if !ok {
			continue
		}
		host.handle(place.Ended{Call: granted.Call, Ending: place.EndCancelled})
		if granted.FetchSources[0] == storeAddress && !r.freed[granted.Weights] {
			r.copies = append(r.copies, activeCopy{granted.Weights, time.UnixMilli(int64(granted.FetchDeadline))})
		}
		if violation := r.checkWeights(host, granted.Weights); violation != "" {
			return violation
		}
	}
	return ""
}

func (r *rollout) checkWeights(host *rolloutHost, version spoke.WeightVersion) string {
	if version == r.newest() || r.now.Sub(host.connectedSince) < syncTime {
		return ""
	}
	// Version n+2 is at index n, so the next newer version is at version-1.
	replaced := r.wantedAt[version-1]
	if age := r.now.Sub(replaced); age > schedulerLimit {
		return fmt.Sprintf("%s began a call on version %d, which was replaced %s ago", host.id, version, age)
	}
	return ""
}

// Guards against calls that begin on outdated weights, and against freeing stored parts while a call may copy
// them, whatever the hosts have missed: versions that become wanted in quick succession or are seen late,
// hosts that are cut off from the directory or from reports or are frozen, and a store that two of them
// follow.
func TestRolloutWithStaleHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRollout(t)
		pick := func(rt *rapid.T) *rolloutHost { return rapid.SampledFrom(r.hosts).Draw(rt, "host") }
		steps := func(rt *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				if violation := r.step(); violation != "" {
					rt.Fatal(violation)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"step":         steps,
			"step more":    steps,
			"roll out":     func(*rapid.T) { r.setWanted() },
			"load":         func(rt *rapid.T) { r.load(rapid.IntRange(0, 2).Draw(rt, "engine")) },
			"cut":          func(rt *rapid.T) { host := pick(rt); host.isDirectoryCut = !host.isDirectoryCut },
			"drop reports": func(rt *rapid.T) { host := pick(rt); host.isReportCut = !host.isReportCut },
			"freeze":       func(rt *rapid.T) { host := pick(rt); host.isFrozen = !host.isFrozen },
			"follow":       func(rt *rapid.T) { host := pick(rt); host.follows = !host.follows },
		})
	})
}
