package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// reportTolerance keeps the time at which a version was last listed from moving on with the delay of each report
// that passes between two hosts.
const reportTolerance = time.Second

type (
	// listing is the part of an upstream's entry that tells its software.
	listing struct {
		service  spoke.ServiceName
		software spoke.SoftwareVersion
		started  time.Time
		// isLeaving says that the upstream takes no new calls.
		isLeaving bool
	}

	// presence is how many upstreams are listed with a version, and when the last one was if there are none.
	presence struct {
		count  int
		lastAt time.Time
		// knownAt is when the version became known.
		knownAt time.Time
	}

	// Restart is a start of an upstream with another software version under the id that it had.
	Restart struct {
		Upstream spoke.UpstreamID
		// Started is the zero time if the upstream's entry does not give it.
		Started time.Time
	}

	// Versions holds which software versions the upstreams of each service have had within Retention.
	Versions struct {
		upstreams map[spoke.UpstreamID]listing
		services  map[spoke.ServiceName]map[spoke.SoftwareVersion]*presence
	}
)

// NewVersions returns an empty list of versions.
func NewVersions() *Versions {
	return &Versions{
		upstreams: make(map[spoke.UpstreamID]listing), services: make(map[spoke.ServiceName]map[spoke.SoftwareVersion]*presence),
	}
}

// Apply applies a change of the directory and returns the upstreams that have started again with another version.
func (v *Versions) Apply(now time.Time, change spoke.DirectoryChange) []Restart {
	var restarts []Restart
	listed := make(map[spoke.UpstreamID]bool, len(change.Upstreams))
	for _, upstream := range change.Upstreams {
		listed[upstream.ID] = true
		before, isKnown := v.upstreams[upstream.ID]
		v.remove(now, upstream.ID)
		v.upstreams[upstream.ID] = listing{upstream.Service, upstream.Software, upstream.Started, upstream.IsLeaving}
		v.presence(now, upstream.Service, upstream.Software).count++
		if isKnown && before.service == upstream.Service && before.software != upstream.Software {
			restarts = append(restarts, Restart{upstream.ID, upstream.Started})
		}
	}
	for _, id := range change.RemovedUpstreams {
		v.remove(now, id)
	}
	if change.IsSnapshot && !change.KeepsUnlisted {
		for id := range v.upstreams {
			if !listed[id] {
				v.remove(now, id)
			}
		}
	}
	v.prune(now)
	return restarts
}

func (v *Versions) remove(now time.Time, id spoke.UpstreamID) {
	before, isKnown := v.upstreams[id]
	if !isKnown {
		return
	}
	delete(v.upstreams, id)
	known := v.presence(now, before.service, before.software)
	known.count--
	known.lastAt = now
}

func (v *Versions) presence(now time.Time, service spoke.ServiceName, software spoke.SoftwareVersion) *presence {
	if v.services[service] == nil {
		v.services[service] = make(map[spoke.SoftwareVersion]*presence)
	}
	if v.services[service][software] == nil {
		v.services[service][software] = &presence{knownAt: now}
	}
	return v.services[service][software]
}

// Observe applies what another host knows, which may include versions from before this host started.
func (v *Versions) Observe(now time.Time, seen []spoke.ListedSoftware) {
	for _, s := range seen {
		if s.Age < 0 || s.Age > Retention || s.Software == "" {
			continue
		}
		known := v.presence(now, s.Service, s.Software)
		if at := now.Add(-s.Age); at.After(known.lastAt.Add(reportTolerance)) {
			known.lastAt = at
		}
	}
	v.prune(now)
}

// Of returns the versions that a service has had within Retention.
func (v *Versions) Of(now time.Time, service spoke.ServiceName) []spoke.SoftwareVersion {
	var versions []spoke.SoftwareVersion
	for software, known := range v.services[service] {
		if known.age(now) <= Retention {
			versions = append(versions, software)
		}
	}
	return versions
}

// Services returns the services that have had a version within Retention.
func (v *Versions) Services() []spoke.ServiceName { return slices.Sorted(maps.Keys(v.services)) }

// All returns the versions that each service has had within Retention.
func (v *Versions) All(now time.Time) []spoke.ListedSoftware {
	var all []spoke.ListedSoftware
	for _, service := range v.Services() {
		for _, software := range v.Of(now, service) {
			all = append(all, spoke.ListedSoftware{Service: service, Software: software})
		}
	}
	return all
}

// Several returns the versions of those services that have had several within Retention, for other hosts.
func (v *Versions) Several(now time.Time) []spoke.ListedSoftware {
	v.prune(now)
	var seen []spoke.ListedSoftware
	for service, versions := range v.services {
		if len(versions) < 2 {
			continue
		}
		for software, known := range versions {
			seen = append(seen, spoke.ListedSoftware{Service: service, Software: software, Age: known.age(now)})
		}
	}
	slices.SortFunc(seen, func(a, b spoke.ListedSoftware) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return seen
}

// Unsettled returns the versions of a service that became known after its first ones and less than a time ago, and when
// that time is over for all of them. It returns none if most upstreams that take calls have one of them: the others are
// enough for the calls meanwhile.
func (v *Versions) Unsettled(now time.Time, service spoke.ServiceName, settling time.Duration) ([]spoke.SoftwareVersion, time.Time) {
	first, last := now, time.Time{}
	for _, known := range v.services[service] {
		if known.knownAt.Before(first) {
			first = known.knownAt
		}
	}
	var unsettled []spoke.SoftwareVersion
	for software, known := range v.services[service] {
		if known.knownAt.After(first) && now.Sub(known.knownAt) < settling {
			unsettled = append(unsettled, software)
			last = latest(last, known.knownAt)
		}
	}
	if len(unsettled) == 0 || 2*v.countTaking(service, unsettled) > v.countTaking(service, v.Of(now, service)) {
		return nil, time.Time{}
	}
	return unsettled, last.Add(settling)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countTaking counts the upstreams of a service that take new calls and have one of the versions.
func (v *Versions) countTaking(service spoke.ServiceName, versions []spoke.SoftwareVersion) int {
	count := 0
	for _, upstream := range v.upstreams {
		if upstream.service == service && !upstream.isLeaving && slices.Contains(versions, upstream.software) {
			count++
		}
	}
	return count
}

// IsReplaced reports whether the directory now lists another software version under the id of an upstream.
func (v *Versions) IsReplaced(upstream spoke.ListedUpstream) bool {
	current, isListed := v.upstreams[upstream.ID]
	return isListed && current.software != upstream.Software
}

func (v *Versions) prune(now time.Time) {
	for service, versions := range v.services {
		maps.DeleteFunc(versions, func(_ spoke.SoftwareVersion, known *presence) bool { return known.age(now) > Retention })
		if len(versions) == 0 {
			delete(v.services, service)
		}
	}
}

// age is the time since an upstream was last listed with the version.
func (p *presence) age(now time.Time) time.Duration {
	if p.count > 0 {
		return 0
	}
	return now.Sub(p.lastAt)
}
