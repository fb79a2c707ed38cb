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
	rolloutStep  = 100 * time.Millisecond
	accountEvery = time.Second
	// touchTime is how long a host must have heard everything before it is bound by times.
	touchTime = 3 * time.Second
	// schedulerLimit is the time in which newTrial's hosts may use older weights.
	schedulerLimit = 6 * time.Second
	storeAddress   = spoke.Address("10.0.0.9:1")
)

type (
	// rolloutHost is a host with what it may miss.
	rolloutHost struct {
		*trial
		id       spoke.HostID
		outdated *place.OutdatedWeights
		freeing  *place.Reclaimer
		told     time.Time
		// isCut keeps the directory away, isDeaf the accounts, isFrozen both and all steps.
		isCut, isDeaf, isFrozen bool
		// sound is since when nothing was kept away, seen when the host last saw the directory.
		sound, seen time.Time
		// heard is when the last account came.
		heard time.Time
		// news are changes of the directory that the host has not seen.
		news []func(*rolloutHost)
		// follows says that the host follows the store, which a host that was moved aside may do on.
		follows bool
	}

	copying struct {
		version spoke.WeightVersion
		until   time.Time
	}

	// rollout is three hosts, three engines and a store while weights are named.
	rollout struct {
		now     time.Time
		hosts   []*rolloutHost
		engines []spoke.ListedUpstream
		// named holds when each version was named; version n+2 stands at n.
		named  []time.Time
		stored []spoke.StoredKey
		copies []copying
		freed  map[spoke.WeightVersion]bool
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
			trial: newTrialOf(t, id, 3), id: id, outdated: place.NewOutdatedWeights(schedulerLimit), freeing: place.NewReclaimer(),
			sound: r.now, seen: r.now, heard: r.now, follows: i == 0,
		}
		host.outdated.SetUpstreams(true, r.engines, nil)
		r.hosts = append(r.hosts, host)
	}
	r.save(1)
	return r
}

func (r *rollout) newest() spoke.WeightVersion { return spoke.WeightVersion(len(r.named) + 1) }

// save lets the store hold a part made on a version.
func (r *rollout) save(version spoke.WeightVersion) {
	r.stored = append(r.stored, place.StoredKeyOf(spoke.StoredPart{Group: groupAt(version), Part: "session"}))
}

// publish lets all hosts see a change of the directory once they are not cut off.
func (r *rollout) publish(change func(*rolloutHost)) {
	for _, host := range r.hosts {
		host.news = append(host.news, change)
	}
}

func (r *rollout) name() {
	r.named = append(r.named, r.now)
	wanted := spoke.WantedWeights{Model: model, Version: r.newest()}
	r.publish(func(host *rolloutHost) {
		host.handle(place.SetWantedWeights{Wanted: wanted, Age: host.missed(), IsEstimate: host.missed() > 0})
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

// missed is how long the host could not see the directory.
func (h *rolloutHost) missed() time.Duration { return h.now.Sub(h.seen) - rolloutStep }

// step lets time pass and returns what broke a rule, if anything.
func (r *rollout) step() string {
	r.now = r.now.Add(rolloutStep)
	for _, host := range r.hosts {
		host.now = r.now
		if host.isCut || host.isDeaf || host.isFrozen {
			host.sound = r.now
		}
		if host.isFrozen {
			continue
		}
		if !host.isCut {
			for _, change := range host.news {
				change(host)
			}
			host.news, host.seen = nil, r.now
		}
		host.handle(place.Tick{})
		if fault := r.follow(host); fault != "" {
			return fault
		}
		r.tell(host)
		if fault := r.call(host); fault != "" {
			return fault
		}
	}
	return ""
}

// follow lets a host that follows the store tell of it and free parts.
func (r *rollout) follow(host *rolloutHost) string {
	isIsolated := r.now.Sub(host.seen) > place.IsolatedAfter && r.now.Sub(host.heard) > place.IsolatedAfter
	if !host.follows || isIsolated {
		host.freeing.Reset()
		return ""
	}
	state := spoke.StoreState{
		Store: "store", Epoch: 7, Used: 1000, Stored: r.stored, Oldest: host.outdated.OldestUsable(host.now),
		Clock: spoke.EngineTime(r.now.UnixMilli()),
	}
	host.freeing.Publish(host.now, state.Oldest)
	host.handle(place.UpdateStore{State: state})
	for version := spoke.WeightVersion(1); version < r.newest(); version++ {
		if r.freed[version] || !host.freeing.MayFree(host.now, groupAt(version)) {
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

func (r *rollout) tell(host *rolloutHost) {
	if r.now.Sub(host.told) < accountEvery {
		return
	}
	host.told = r.now
	share := host.scheduler.LoadReport(r.now, true)
	for _, other := range r.hosts {
		if other == host || other.isDeaf || other.isFrozen {
			continue
		}
		other.heard = r.now
		for _, action := range other.handle(place.ReceiveReport{Report: share}) {
			if _, isContest := action.(place.StoreConflict); isContest {
				other.freeing.Reset()
			}
		}
	}
}

// call places a call at a host and checks the weights and the copies of its grant.
func (r *rollout) call(host *rolloutHost) string {
	for _, action := range host.handle(host.ask(0, "session", 2000, 100)) {
		granted, ok := action.(place.Grant)
		if !ok {
			continue
		}
		host.handle(place.Ended{Call: granted.Call, Ending: place.EndCancelled})
		if granted.Fetch[0] == storeAddress && !r.freed[granted.Weights] {
			r.copies = append(r.copies, copying{granted.Weights, time.UnixMilli(int64(granted.FetchUntil))})
		}
		if fault := r.begins(host, granted.Weights); fault != "" {
			return fault
		}
	}
	return ""
}

func (r *rollout) begins(host *rolloutHost, version spoke.WeightVersion) string {
	if version == r.newest() || r.now.Sub(host.sound) < touchTime {
		return ""
	}
	// Version n+2 stands at n, so the first newer one than this stands at version-1.
	replaced := r.named[version-1]
	if age := r.now.Sub(replaced); age > schedulerLimit {
		return fmt.Sprintf("%s began a call on version %d, which was replaced %s ago", host.id, version, age)
	}
	return ""
}

// Guards against calls that begin on weights after their time, and against stored parts that are freed
// while a call may copy them, whatever the hosts have missed: names that come in quick succession or
// late, hosts that are cut off, deaf or frozen, and a store that two of them follow.
func TestRollOutWithStaleHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRollout(t)
		pick := func(rt *rapid.T) *rolloutHost { return rapid.SampledFrom(r.hosts).Draw(rt, "host") }
		steps := func(rt *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				if fault := r.step(); fault != "" {
					rt.Fatal(fault)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"step":      steps,
			"step more": steps,
			"name":      func(*rapid.T) { r.name() },
			"load":      func(rt *rapid.T) { r.load(rapid.IntRange(0, 2).Draw(rt, "engine")) },
			"cut":       func(rt *rapid.T) { host := pick(rt); host.isCut = !host.isCut },
			"deafen":    func(rt *rapid.T) { host := pick(rt); host.isDeaf = !host.isDeaf },
			"freeze":    func(rt *rapid.T) { host := pick(rt); host.isFrozen = !host.isFrozen },
			"follow":    func(rt *rapid.T) { host := pick(rt); host.follows = !host.follows },
		})
	})
}
