package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
)

// attemptContext returns the context of an attempt. A call that may run only once goes on when its caller has left,
// until its deadline or the end of a stop of this host, since neither the caller nor this host can repeat it.
func (e *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if e.route.Rule != spoke.RuleOnce {
		return context.WithCancel(ctx)
	}
	return e.withDeadline(context.WithoutCancel(ctx))
}

// endLeft ends a call whose caller counts as gone. The caller gets its final answer all the same, since the
// evidence may be wrong.
func (e *exchange) endLeft(ctx context.Context, p *progress, fields logrus.Fields) {
	e.log.WithFields(fields).WithFields(e.stoppingFields()).WithFields(endFields(ctx)).WithFields(logrus.Fields{
		"held": time.Since(e.arrived).String(), "evidence": caller.Evidence(ctx), "sent": p.sendCount > 0,
	}).Info("caller left")
	e.metrics.addAnswer(e.route.Name, "caller-left", e.arrived)
	switch {
	case p.stream.hasBegun():
		e.cutConnection()
	case p.answer != nil:
		_ = e.writeAnswer(p.answer.head, p.answer.body)
	case p.mayHaveRun:
		writeError(e.writer, http.StatusBadGateway, "upstream-failed", 0)
	default:
		writeError(e.writer, http.StatusServiceUnavailable, "not-taken", e.capRetryAfter(shortRetryAfter))
	}
}

// endFields returns how long ago the caller's bytes ended, nothing if a reset ended them. The time is that in which this
// host told a caller that has left from one that has only closed its sending side.
func endFields(ctx context.Context) logrus.Fields {
	endedAt := caller.EndedAt(ctx)
	if endedAt.IsZero() {
		return nil
	}
	return logrus.Fields{"bytes-ended-for": time.Since(endedAt).String()}
}
