package edge

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/origin"
)

// originInterval is the interval at which this host checks whether a service has got a second software version.
const originInterval = 100 * time.Millisecond

// origins keeps at which software versions streams began, at this host and at others. It is safe for concurrent use.
type origins struct {
	conf    *configState
	timer   spoke.Timer
	log     logrus.FieldLogger
	metrics *metrics
	sender  *originSender
	client  *originClient

	mu       sync.Mutex
	streams  *origin.Streams
	versions *origin.Versions
	// knowledge is for how long this host has known of each version.
	knowledge origin.Knowledge
	// isComplete is set once it knows of all that count.
	isComplete bool
	self       spoke.ListedPeer
	peers      []spoke.ListedPeer
	// addresses holds the addresses of peers that can be parsed.
	addresses map[spoke.HostID]netip.AddrPort
	// shared holds the services whose streams other hosts are told of.
	shared map[spoke.ServiceName]bool
}

func newOrigins(self spoke.ListedPeer, conf *configState, timer spoke.Timer, log logrus.FieldLogger, metrics *metrics, send func(spoke.HostReport, []netip.AddrPort)) *origins {
	return &origins{
		conf: conf, timer: timer, log: log, metrics: metrics, self: self,
		sender: newOriginSender(self.ID, send, metrics), client: newOriginClient(metrics),
		streams: origin.NewStreams(), versions: origin.NewVersions(), shared: make(map[spoke.ServiceName]bool),
	}
}

// run tells other hosts of the streams of services that have got a second software version, until ctx ends.
func (o *origins) run(ctx context.Context) error {
	return runTask(ctx, o.timer, originInterval, nil, nil, func(context.Context) { o.step() })
}

func (o *origins) step() {
	o.mu.Lock()
	now := o.timer.Now()
	o.logComplete(now)
	o.renew(now)
	for _, service := range o.versions.Services() {
		isShared := o.isShared(now, service)
		if isShared && !o.shared[service] {
			recent := o.streams.Untold(now, service)
			o.log.WithFields(logrus.Fields{
				"service": service, "versions": o.versions.Of(now, service), "is-stale": o.conf.isStale(), "streams": len(recent),
			}).Info("streams of a service may have begun at several software versions")
			for _, stream := range recent {
				o.sender.queue(stream, o.holders(stream.Request))
			}
		}
		o.shared[service] = isShared
	}
	o.mu.Unlock()
	o.sender.sendQueued()
}

// renew keeps the streams that run at this host, and their versions.
func (o *origins) renew(now time.Time) {
	running, told := o.streams.Renew(now)
	for _, stream := range running {
		o.versions.Observe(now, []spoke.ListedSoftware{{Service: stream.Service, Software: stream.Software}})
	}
	for _, stream := range told {
		o.sender.queue(stream, o.holders(stream.Request))
	}
}

// logComplete logs once that this host knows of each version that streams may have begun at.
func (o *origins) logComplete(now time.Time) {
	if !o.isComplete && o.knowledge.IsComplete(now) {
		o.isComplete = true
		o.log.Info("software versions of earlier streams are known")
	}
}

// isShared reports whether streams of the service may have begun at several software versions. While this host has no
// news of the directory, others may know of one that it does not; after its start, one may have gone before.
func (o *origins) isShared(now time.Time, service spoke.ServiceName) bool {
	return len(o.versions.Of(now, service)) > 1 || !o.knowledge.IsComplete(now) || (len(o.peers) > 0 && o.conf.isStale())
}

// holders returns the addresses of the hosts that are told of a stream of this host.
func (o *origins) holders(request spoke.RequestID) []netip.AddrPort {
	return o.addressesOf(origin.Holders(request, o.peers, o.self))
}

// sources returns the addresses of the hosts that are asked at which version a stream began.
func (o *origins) sources(request spoke.RequestID) []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addressesOf(origin.Sources(request, o.peers, o.self))
}

func (o *origins) addressesOf(hosts []spoke.HostID) []netip.AddrPort {
	var found []netip.AddrPort
	for _, id := range hosts {
		if address, isKnown := o.addresses[id]; isKnown {
			found = append(found, address)
		}
	}
	return found
}

// setPeers sets the other hosts and the addresses of those that have a valid one.
func (o *origins) setPeers(peers []spoke.ListedPeer, addresses map[spoke.HostID]netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers, o.addresses = peers, addresses
}

// applyUpstreams applies a change of the directory. Other hosts are told at once of the streams whose version has
// become doubtful.
func (o *origins) applyUpstreams(change spoke.DirectoryChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	if change.IsSnapshot {
		o.knowledge.Read(now, change.Peers, o.self.ID, change.RecordedSoftware)
		o.versions.Observe(now, change.RecordedSoftware)
	}
	for _, restart := range o.versions.Apply(now, change) {
		doubtful := o.streams.Doubt(now, restart.Upstream, restart.Started)
		for _, stream := range doubtful {
			o.sender.send([]spoke.StreamOrigin{stream}, o.holders(stream.Request))
		}
		o.log.WithFields(logrus.Fields{"upstream": restart.Upstream, "started": restart.Started, "doubtful-streams": len(doubtful)}).Info("upstream started with another software version")
	}
}

// receive applies what another host has reported.
func (o *origins) receive(report spoke.HostReport) {
	if len(report.Origins)+len(report.Software) == 0 && !report.IsSnapshot {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	o.versions.Observe(now, report.Software)
	if report.IsSnapshot {
		o.knowledge.Receive(now, report.SoftwareKnown)
	}
	for _, stream := range report.Origins {
		o.streams.Receive(now, stream)
	}
}

// software returns the versions of those services that have recently had several, for the report to other hosts, and
// for how long this host has known of each version, zero if long enough.
func (o *origins) software() ([]spoke.ListedSoftware, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	known := o.knowledge.Reported(now)
	if o.conf.isStale() {
		known = time.Millisecond
	}
	return o.versions.Several(now), known
}

// recordable returns the versions of all services for hosts that start, none while this host may lack one.
func (o *origins) recordable() []spoke.ListedSoftware {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	if o.knowledge.Reported(now) != 0 || o.conf.isStale() {
		return nil
	}
	return o.versions.All(now)
}

// began records the software version of a stream that begins or goes on at an upstream, and tells other hosts of it
// if the service has several.
func (o *origins) began(request spoke.RequestID, service spoke.ServiceName, upstream spoke.ListedUpstream) {
	o.mu.Lock()
	now := o.timer.Now()
	stream := origin.Stream{Request: request, Service: service, Upstream: upstream.ID, Software: upstream.Software}
	if o.versions.IsReplaced(upstream) {
		stream.Software = ""
	}
	isShared := o.isShared(now, service)
	reported := o.streams.Add(now, stream, isShared)
	var holders []netip.AddrPort
	if isShared {
		holders = o.holders(request)
	}
	o.mu.Unlock()
	o.sender.send([]spoke.StreamOrigin{reported}, holders)
}

// unsettled returns the versions of a service at which no stream must begin yet, and until when. A host that has had no
// news of the directory since before the version was listed knows that it has none once they have spread.
func (o *origins) unsettled(service spoke.ServiceName) ([]spoke.SoftwareVersion, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Unsettled(o.timer.Now(), service, o.conf.staleAfter+originInterval)
}

// ended records the end of an answer that brought events of a stream.
func (o *origins) ended(request spoke.RequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams.End(o.timer.Now(), request)
}

// isReplaced reports whether the directory lists another software version under the id of an upstream.
func (o *origins) isReplaced(upstream spoke.ListedUpstream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.IsReplaced(upstream)
}

// find returns the software version at which a stream began, as far as this host knows.
func (o *origins) find(request spoke.RequestID) (spoke.SoftwareVersion, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.streams.Find(o.timer.Now(), request)
}

// required returns the software version at which a caller's stream has to go on; it returns false if that is not
// known. Other hosts are asked only if the service has had several versions.
func (o *origins) required(ctx context.Context, service spoke.ServiceName, resumed spoke.RequestID) (spoke.SoftwareVersion, bool) {
	if known, isKnown := o.find(resumed); isKnown && resumed != "" {
		return known, known != ""
	}
	o.mu.Lock()
	now := o.timer.Now()
	versions, isShared := o.versions.Of(now, service), o.isShared(now, service)
	o.mu.Unlock()
	switch {
	case isShared && resumed != "":
		return o.client.ask(ctx, resumed, o.sources(resumed))
	case isShared:
		return "", false
	case len(versions) == 0:
		// The service has no upstream, and the first one that comes need not have the version.
		return "", false
	}
	return versions[0], true
}
