package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/evac"
	"magnoliaspoke.example/spoke/place"
)

const (
	// evacuationCheckInterval is the least time between two checks of which hosts have applied an evacuation.
	evacuationCheckInterval = 100 * time.Millisecond
	// maxLoggedHosts bounds the hosts that a log line names.
	maxLoggedHosts = 10
)

// errEvacuated is the cause with which an attempt is cancelled whose upstream is in an evacuated data centre.
var errEvacuated = errors.New("data centre of the upstream is evacuated")

type (
	// evacuations are the evacuated data centres, for concurrent use.
	evacuations struct {
		now     func() time.Time
		log     logrus.FieldLogger
		metrics *metrics

		mu    sync.Mutex
		state *evac.State
		// closed holds the data centres to which nothing is sent. A data centre is closed once the scheduler has the
		// evacuation, so that a call that is withheld is not granted the same upstream again.
		closed      map[spoke.DataCentreID]bool
		dataCentres map[spoke.UpstreamID]spoke.DataCentreID
		unsent      map[*unsentAttempt]struct{}
		checkedAt   time.Time
	}

	// unsentAttempt is an attempt of which nothing has been sent.
	unsentAttempt struct {
		dataCentre spoke.DataCentreID
		cancel     context.CancelCauseFunc
	}
)

func newEvacuations(apply time.Duration, now func() time.Time, log logrus.FieldLogger, metrics *metrics) *evacuations {
	var options []evac.Option
	if apply > 0 {
		options = append(options, evac.WithApply(apply))
	}
	e := &evacuations{
		now: now, log: log, metrics: metrics, state: evac.New(options...), closed: make(map[spoke.DataCentreID]bool),
		dataCentres: make(map[spoke.UpstreamID]spoke.DataCentreID), unsent: make(map[*unsentAttempt]struct{}),
	}
	metrics.evacuations = e.list
	return e
}

// apply applies a change of the directory and passes the evacuations on to the scheduler if they have changed.
func (e *evacuations) apply(change spoke.DirectoryChange, post func(place.Message)) {
	e.mu.Lock()
	e.listUpstreams(change)
	result := e.state.Apply(e.now(), change)
	evacuated := e.state.Evacuated()
	for _, id := range result.Ended {
		delete(e.closed, id)
	}
	e.mu.Unlock()
	if len(result.Begun)+len(result.Ended) == 0 {
		return
	}
	post(place.SetEvacuated{DataCentres: evacuated, Ended: result.Ended})
	e.closeAll(result.Begun)
	for _, id := range result.Begun {
		e.log.WithFields(logrus.Fields{"data-centre": id, "revision": change.Revision, "is-snapshot": change.IsSnapshot}).Warn("data centre is evacuated")
	}
	for _, id := range result.Ended {
		e.log.WithFields(logrus.Fields{"data-centre": id, "revision": change.Revision, "is-snapshot": change.IsSnapshot}).Info("evacuation has ended")
	}
}

func (e *evacuations) listUpstreams(change spoke.DirectoryChange) {
	if change.IsSnapshot && !change.KeepsUnlisted {
		clear(e.dataCentres)
	}
	for _, listed := range change.Upstreams {
		e.dataCentres[listed.ID] = listed.DataCentre
	}
	for _, id := range change.RemovedUpstreams {
		delete(e.dataCentres, id)
	}
}

// closeAll closes data centres and cancels the attempts there of which nothing was sent.
func (e *evacuations) closeAll(begun []spoke.DataCentreID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range begun {
		e.closed[id] = true
	}
	for attempt := range e.unsent {
		if e.closed[attempt.dataCentre] {
			attempt.cancel(errEvacuated)
		}
	}
}

// begin adds an attempt of which nothing was sent. It is cancelled with errEvacuated if its data centre is evacuated.
func (e *evacuations) begin(dataCentre spoke.DataCentreID, cancel context.CancelCauseFunc) *unsentAttempt {
	attempt := &unsentAttempt{dataCentre, cancel}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsent[attempt] = struct{}{}
	if e.closed[dataCentre] {
		cancel(errEvacuated)
	}
	return attempt
}

// send records that an attempt is sent from now on, or returns errEvacuated if it must not be.
func (e *evacuations) send(attempt *unsentAttempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed[attempt.dataCentre] {
		return errEvacuated
	}
	delete(e.unsent, attempt)
	return nil
}

// end removes an attempt that is over.
func (e *evacuations) end(attempt *unsentAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unsent, attempt)
}

// isClosed reports whether nothing may be sent to a data centre.
func (e *evacuations) isClosed(dataCentre spoke.DataCentreID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed[dataCentre]
}

// isUpstreamClosed reports whether nothing may be sent to a listed upstream.
func (e *evacuations) isUpstreamClosed(id spoke.UpstreamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed[e.dataCentres[id]]
}

// setHosts sets the other hosts.
func (e *evacuations) setHosts(hosts []spoke.HostID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.SetHosts(hosts)
}

// receive records the directory's revision that another host has reported.
func (e *evacuations) receive(report spoke.HostReport) {
	e.mu.Lock()
	e.state.Report(report.Host, report.Directory.Revision)
	isDue := e.now().Sub(e.checkedAt) >= evacuationCheckInterval
	e.mu.Unlock()
	if isDue {
		e.check()
	}
}

// check logs the evacuations that all known hosts have applied by now, and those that some have not applied in time.
func (e *evacuations) check() {
	e.mu.Lock()
	now := e.now()
	e.checkedAt = now
	applied, overdue := e.state.Applied(now), e.state.Overdue(now)
	e.mu.Unlock()
	for _, status := range applied {
		e.log.WithFields(logrus.Fields{"data-centre": status.DataCentre, "took": status.Age.String()}).Info("all known hosts have applied the evacuation")
	}
	for _, status := range overdue {
		e.log.WithFields(logrus.Fields{
			"data-centre": status.DataCentre, "age": status.Age.String(), "hosts": len(status.Missing),
			"first-hosts": status.Missing[:min(len(status.Missing), maxLoggedHosts)],
		}).Warn("hosts are not known to have applied the evacuation in time")
	}
}

// list returns the evacuations in force for the metrics.
func (e *evacuations) list() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make([]map[string]any, 0)
	for _, status := range e.state.List(e.now()) {
		listed = append(listed, map[string]any{
			"data-centre": status.DataCentre, "age-ms": status.Age.Milliseconds(), "not-applied": append([]spoke.HostID{}, status.Missing...),
		})
	}
	return listed
}
