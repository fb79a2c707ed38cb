package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/place"
)

// restartDistance is the number by which the sequence number of a load report is below that of an earlier one
// if its host has restarted. Reports that arrive out of order differ by less.
const restartDistance = 16

// partQuarantine identifies prompt parts that crash the upstreams that begin to answer requests with them.
type partQuarantine struct {
	registry *crash.PartRegistry
	self     spoke.HostID
	log      logrus.FieldLogger
	metrics  *metrics
	// sequences holds the number of the latest report of each other host. Only the task that receives load
	// reports uses it.
	sequences map[spoke.HostID]uint64
	// hasNewMark is set until waiting calls have been compared with the marks.
	hasNewMark atomic.Bool
}

func newPartQuarantine(self spoke.HostID, log logrus.FieldLogger, metrics *metrics) *partQuarantine {
	q := &partQuarantine{
		registry: crash.NewPartRegistry(), self: self, log: log, metrics: metrics,
		sequences: make(map[spoke.HostID]uint64),
	}
	q.setHosts([]spoke.HostID{self})
	return q
}

// setHosts sets the hosts that exchange load reports, self included.
func (q *partQuarantine) setHosts(hosts []spoke.HostID) { q.registry.SetHosts(q.self, hosts) }

// receive adopts what another host reports about crashes.
func (q *partQuarantine) receive(now time.Time, report spoke.HostReport) {
	if report.Sequence+restartDistance < q.sequences[report.Host] {
		q.registry.ResendAll()
	}
	q.sequences[report.Host] = report.Sequence
	if reported := report.Crashes; len(reported.Crashes)+len(reported.Served)+len(reported.Marks)+len(reported.Refuted) > 0 {
		q.registry.Receive(now, report.Host, reported)
	}
	q.logDecisions()
}

// report returns what other hosts should know, and whether there is anything.
func (q *partQuarantine) report(now time.Time, isFull bool) (spoke.CrashReport, bool) {
	defer q.logDecisions()
	return q.registry.Report(now, isFull)
}

// logDecisions logs and counts the decisions since the last call.
func (q *partQuarantine) logDecisions() {
	for _, decision := range q.registry.Decisions() {
		line := q.log.WithFields(logrus.Fields{"part": partText(decision.Part), "from": decision.From})
		switch decision.Kind {
		case crash.PartMarked:
			q.hasNewMark.Store(true)
			q.metrics.addPartMark()
			line.WithFields(logrus.Fields{
				"crashes": decision.Crashes, "retry-after": time.Until(decision.Until).String(),
			}).Warn("prompt part quarantined")
		case crash.PartProbed:
			line.Info("quarantined prompt part is probed")
		case crash.PartEnded:
			line.Info("prompt part is no longer quarantined")
		}
	}
}

func partText(part spoke.PartHash) string { return strconv.FormatUint(uint64(part), 36) }

// refuseQuarantined sends the final answer of a call if a part of its prompt is quarantined, and reports
// whether it is.
func (e *exchange) refuseQuarantined(ctx context.Context, p *progress) bool {
	verdict := e.parts.registry.Admit(time.Now(), e.call.Prompt.Parts)
	e.parts.logDecisions()
	if verdict.IsBlocked {
		e.endQuarantined(ctx, p, verdict)
	}
	return verdict.IsBlocked
}

// endQuarantined sends the final answer of a call whose prompt has a quarantined part.
func (e *exchange) endQuarantined(ctx context.Context, p *progress, verdict crash.PartVerdict) {
	e.metrics.addPartRefusal()
	fields := logrus.Fields{"part": partText(verdict.Part), "tried": p.tried, "last-fault": p.lastFault}
	if ctx.Err() != nil || p.hasResult() {
		e.log.WithFields(fields).Warn("call is not sent again: a part of its prompt is quarantined")
		e.sendFinalAnswer(ctx, p)
		return
	}
	e.refuse(http.StatusServiceUnavailable, string(refusedQuarantined), max(time.Until(verdict.Until), shortRetryAfter), fields)
}

// hasResult reports whether an attempt has left something that the final answer depends on.
func (p *progress) hasResult() bool { return p.mayHaveRun || p.answer != nil || p.stream.hasBegun() }

// beginParts returns whether the attempt may be sent and, if so, records that it is.
func (a *attempt) beginParts() crash.PartVerdict {
	defer a.parts.logDecisions()
	return a.parts.registry.Begin(time.Now(), crash.PartAttempt{
		ID: a.id, Fingerprint: a.fingerprint,
		Upstream: spoke.UpstreamStart{ID: a.grant.Upstream.ID, Started: a.grant.Upstream.Started.UTC()},
		Parts:    a.call.Prompt.Parts,
	})
}

// endParts records the end of the attempt. A connection that timed out shows that a machine or the network
// failed, not that the upstream crashed; a stream without events shows nothing.
func (a *attempt) endParts(now time.Time, isCrash bool) {
	ending := crash.PartEndOther
	switch {
	case isCrash && !isTimeout(a.failure):
		ending = crash.PartEndCrashed
	case a.ending == place.EndServed && a.head.Status < http.StatusMultipleChoices && (a.hasBegun || a.route.Rule != spoke.RuleStream):
		ending = crash.PartEndServed
	}
	a.parts.registry.End(now, a.id, ending)
	a.parts.logDecisions()
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
