package evac

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

// DefaultApply is the time within which hosts have to apply an evacuation if the settings state none.
const DefaultApply = 5 * time.Second

type (
	// Option changes a State.
	Option func(*State)

	// Change is how a change of the directory affects evacuations, each list in the order of the ids.
	Change struct {
		// Begun lists the data centres that are evacuated from now on, Ended those whose evacuation has been removed, also
		// if it began and ended within one change of the directory.
		Begun, Ended []spoke.DataCentreID
	}

	// Status is an evacuation in force as this host knows it.
	Status struct {
		DataCentre spoke.DataCentreID
		// Age is the time since this host received it.
		Age time.Duration
		// Missing lists the other hosts that are not known to have applied it, in the order of their ids.
		Missing []spoke.HostID
	}

	// State holds the evacuations in force. It is not safe for concurrent use.
	State struct {
		apply time.Duration
		hosts []spoke.HostID
		known map[spoke.DataCentreID]*evacuation
	}

	// evacuation is one that is in force.
	evacuation struct {
		since time.Time
		// revision is that of the change that brought the evacuation.
		revision spoke.Revision
		// applied holds the hosts whose reports show the revision.
		applied map[spoke.HostID]bool
		// isDone is set once all known hosts have applied it, isOverdue once they have been reported as late.
		isDone, isOverdue bool
	}
)

// WithApply sets the time within which hosts have to apply an evacuation.
func WithApply(apply time.Duration) Option { return func(s *State) { s.apply = apply } }

// New returns a state without evacuations.
func New(options ...Option) *State {
	s := &State{apply: DefaultApply, known: make(map[spoke.DataCentreID]*evacuation)}
	for _, option := range options {
		option(s)
	}
	return s
}

// Apply applies a change of the directory. A snapshot that keeps unlisted entries ends no evacuation, since the directory
// may have lost it with its return from an older copy.
func (s *State) Apply(now time.Time, change spoke.DirectoryChange) Change {
	var result Change
	listed := make(map[spoke.DataCentreID]bool, len(change.Evacuated))
	for _, id := range change.Evacuated {
		listed[id] = true
		if s.known[id] == nil {
			s.known[id] = &evacuation{since: now, revision: change.Revision, applied: make(map[spoke.HostID]bool)}
			result.Begun = append(result.Begun, id)
		}
	}
	ended := make(map[spoke.DataCentreID]bool)
	for _, id := range change.EndedEvacuations {
		ended[id] = true
	}
	if change.IsSnapshot && !change.KeepsUnlisted {
		for id := range s.known {
			ended[id] = ended[id] || !listed[id]
		}
	}
	for id, isEnded := range ended {
		if isEnded {
			delete(s.known, id)
			result.Ended = append(result.Ended, id)
		}
	}
	slices.Sort(result.Begun)
	slices.Sort(result.Ended)
	return result
}

// InForce reports whether a data centre is evacuated.
func (s *State) InForce(id spoke.DataCentreID) bool { return s.known[id] != nil }

// Evacuated returns the evacuated data centres in the order of their ids.
func (s *State) Evacuated() []spoke.DataCentreID { return slices.Sorted(maps.Keys(s.known)) }

// SetHosts sets the other hosts that the directory lists.
func (s *State) SetHosts(hosts []spoke.HostID) { s.hosts = slices.Sorted(slices.Values(hosts)) }

// Report records the directory's revision that another host has reported.
func (s *State) Report(host spoke.HostID, revision spoke.Revision) {
	for _, e := range s.known {
		if revision >= e.revision {
			e.applied[host] = true
		}
	}
}

// Applied returns the evacuations that all known hosts have applied, each once.
func (s *State) Applied(now time.Time) []Status {
	return s.take(now, func(e *evacuation, status Status) bool {
		is := !e.isDone && len(status.Missing) == 0
		e.isDone = e.isDone || is
		return is
	})
}

// Overdue returns the evacuations that some hosts are not known to have applied in time, each once.
func (s *State) Overdue(now time.Time) []Status {
	return s.take(now, func(e *evacuation, status Status) bool {
		is := !e.isDone && !e.isOverdue && status.Age > s.apply && len(status.Missing) > 0
		e.isOverdue = e.isOverdue || is
		return is
	})
}

// List returns all evacuations in force.
func (s *State) List(now time.Time) []Status {
	return s.take(now, func(*evacuation, Status) bool { return true })
}

// take returns the evacuations that isTaken chooses, in the order of their data centres.
func (s *State) take(now time.Time, isTaken func(*evacuation, Status) bool) []Status {
	var taken []Status
	for _, id := range s.Evacuated() {
		e := s.known[id]
		status := Status{DataCentre: id, Age: now.Sub(e.since), Missing: s.missing(e)}
		if isTaken(e, status) {
			taken = append(taken, status)
		}
	}
	return taken
}

func (s *State) missing(e *evacuation) []spoke.HostID {
	var missing []spoke.HostID
	for _, host := range s.hosts {
		if !e.applied[host] {
			missing = append(missing, host)
		}
	}
	return missing
}
