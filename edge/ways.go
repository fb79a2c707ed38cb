package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/detour"
	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/home"
	"magnoliaspoke.example/spoke/reach"
)

const (
	// wayInterval is the interval at which silent and lost ways are looked for.
	wayInterval = 200 * time.Millisecond
	// wayTimeout bounds the time to connect to an upstream, directly or through another host.
	wayTimeout = 700 * time.Millisecond
	// detourTimeout bounds one try through another host.
	detourTimeout = 300 * time.Millisecond
	// hedgeDelay is the time without a direct connection after which another host is asked as well.
	hedgeDelay = 150 * time.Millisecond
	// maxDetourTries bounds the hosts that are asked for one connection.
	maxDetourTries = 2
	// recentlyHeard is the time for which a byte from an upstream shows that the ways of this host work.
	recentlyHeard = 200 * time.Millisecond
)

// errWayLost reports that this host does not reach an upstream and that no other host has said whether it does.
var errWayLost = eris.New("own way to the upstream is lost")

type (
	dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// ways makes connections to upstreams, through other hosts where the own way is lost.
	ways struct {
		direct  dialFunc
		detours *detour.Dialer
		now     func() time.Time
		// onCutOff is called when this host finds that it is cut off from its upstreams, from any goroutine.
		onCutOff func()
		// onFailed is called with each upstream to which an own connection fails, from any goroutine.
		onFailed func(spoke.UpstreamID)
		log      logrus.FieldLogger
		metrics  *metrics
		// regions holds the region of each data centre, region is that of this host.
		regions home.Regions
		region  spoke.RegionID

		// verifying is held while own ways are verified.
		verifying sync.Mutex

		mu        sync.Mutex
		state     *reach.Ways
		relays    *reach.Relays
		byID      map[spoke.UpstreamID]spoke.Address
		byAddress map[spoke.Address]*listedWay
		// connectedAt is when the latest direct connection that was made was begun.
		connectedAt time.Time
		// failedAt is when the latest verification began that reached no upstream.
		failedAt time.Time
	}

	// listedWay is the way to a listed upstream.
	listedWay struct {
		id       spoke.UpstreamID
		activity *wayActivity
	}
)

func newWays(self spoke.HostID, log logrus.FieldLogger, metrics *metrics, onCutOff func()) *ways {
	return &ways{
		direct: dial.New(wayTimeout).DialContext, detours: detour.NewDialer(detourTimeout), now: time.Now, onCutOff: onCutOff, onFailed: func(spoke.UpstreamID) {},
		log: log, metrics: metrics, state: reach.NewWays(), relays: reach.NewRelays(self),
		byID: make(map[spoke.UpstreamID]spoke.Address), byAddress: make(map[spoke.Address]*listedWay),
	}
}

// apply applies a change of the listed upstreams.
func (w *ways) apply(change spoke.DirectoryChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if change.IsSnapshot && !change.KeepsUnlisted {
		clear(w.byID)
	}
	for _, listed := range change.Upstreams {
		w.byID[listed.ID] = listed.Address
	}
	for _, id := range change.RemovedUpstreams {
		delete(w.byID, id)
	}
	known := w.byAddress
	w.byAddress = make(map[spoke.Address]*listedWay, len(w.byID))
	ids := make([]spoke.UpstreamID, 0, len(w.byID))
	for id, address := range w.byID {
		ids = append(ids, id)
		if w.byAddress[address] = known[address]; known[address] == nil || known[address].id != id {
			w.byAddress[address] = &listedWay{id: id, activity: &wayActivity{}}
		}
	}
	w.state.SetUpstreams(ids)
}

// setPeers sets the other hosts.
func (w *ways) setPeers(peers []spoke.ListedPeer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relays.SetPeers(peers)
}

// receive applies what another host reports, and reports whether connections through it have become useless.
func (w *ways) receive(report spoke.HostReport) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relays.SetRefuses(report.Host, report.TakesNoDetours) && report.TakesNoDetours
}

// isCutOff reports whether this host reaches no upstream directly.
func (w *ways) isCutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.IsCutOff()
}

// hasBypassed reports whether other hosts reach any upstream that this one does not.
func (w *ways) hasBypassed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.HasBypassed()
}

// bypassed returns those of some upstreams that other hosts reach and this one does not.
func (w *ways) bypassed(upstreams []spoke.Upstream) map[spoke.UpstreamID]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	bypassed := make(map[spoke.UpstreamID]bool)
	for _, upstream := range upstreams {
		if w.state.IsBypassed(upstream.ID) {
			bypassed[upstream.ID] = true
		}
	}
	return bypassed
}

// relayed returns the address of an upstream to which this host may connect for others: a listed one that it reaches.
func (w *ways) relayed(id spoke.UpstreamID) (spoke.Address, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	address, isListed := w.byID[id]
	return address, isListed && !w.state.IsLost(id)
}

// mayReuse reports whether an idle connection is on the way that new ones take.
func (w *ways) mayReuse(address spoke.Address, conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := w.byAddress[address]
	if listed == nil {
		return true
	}
	relayed, isRelayed := conn.(*relayedConn)
	if isRelayed {
		return w.state.IsLost(listed.id) && w.relays.Takes(w.now(), relayed.via)
	}
	return !w.state.IsLost(listed.id)
}

// run probes ways until ctx ends.
func (w *ways) run(ctx context.Context, timer spoke.Timer) error {
	tick := timer.Every(wayInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			w.probeAll(ctx, w.observe())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// observe returns the upstreams to probe now.
func (w *ways) observe() []spoke.UpstreamID {
	w.mu.Lock()
	defer w.mu.Unlock()
	activities := make([]reach.Activity, 0, len(w.byAddress))
	for _, listed := range w.byAddress {
		activities = append(activities, listed.activity.of(listed.id))
	}
	return w.state.Observe(w.now(), activities)
}

func (w *ways) probeAll(ctx context.Context, ids []spoke.UpstreamID) {
	for _, id := range ids {
		go w.probeDirect(ctx, id)
	}
}

// probeDirect finds out whether the own way to an upstream works.
func (w *ways) probeDirect(ctx context.Context, id spoke.UpstreamID) bool {
	w.mu.Lock()
	address, isListed := w.byID[id]
	w.mu.Unlock()
	if !isListed {
		return false
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	w.metrics.addWayProbe()
	begun := w.now()
	conn, err := w.direct(probeCtx, "tcp", string(address))
	if err == nil {
		_ = conn.Close()
		w.connected(id, begun)
		return true
	}
	if ctx.Err() == nil {
		w.change(func() { w.state.ProbeFailed(w.now(), id) })
	}
	return false
}

// connected records a direct connection that was begun at the given time.
func (w *ways) connected(id spoke.UpstreamID, begun time.Time) {
	w.change(func() {
		w.state.Connected(id)
		if begun.After(w.connectedAt) {
			w.connectedAt = begun
		}
	})
}

// change changes the state of the ways, and logs and passes on whether this host is cut off.
func (w *ways) change(apply func()) {
	w.mu.Lock()
	before := w.state.IsCutOff()
	apply()
	after := w.state.IsCutOff()
	w.mu.Unlock()
	switch {
	case after && !before:
		w.metrics.addCutOff()
		w.log.Warn("cut off from the upstreams; connections are made through other hosts")
		w.onCutOff()
	case before && !after:
		w.log.Info("upstreams are reached directly again")
	}
}

// probe returns why an upstream does not accept connections, nil if it does. The error matches errWayLost if only the way of
// this host is known to have failed.
func (w *ways) probe(ctx context.Context, address spoke.Address) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := w.Dial(ctx, "tcp", string(address))
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}
