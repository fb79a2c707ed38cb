package sched

import (
	"maps"
	"time"

	"magnoliaspoke.example/spoke"
)

// Summary returns the load of an owned upstream; for others, only AsOf is set.
func (a *Admission) Summary(now time.Time, upstream spoke.UpstreamID) spoke.LoadSummary {
	q := a.queues[upstream]
	if q == nil || !q.owned {
		return spoke.LoadSummary{AsOf: now}
	}
	summary := spoke.LoadSummary{
		Queued:   q.waiting,
		Running:  len(q.running),
		Limit:    q.limit.Value(),
		Waits:    make(map[spoke.RankName]time.Duration, len(q.classes)),
		Versions: maps.Clone(q.report.Versions),
		Draining: q.draining,
		AsOf:     now,
	}
	for _, c := range q.classes {
		summary.ExpectedWait = q.forecast(now, c).wait(float64(c.backlog), c.meanCost)
		summary.Waits[c.rank.Name] = summary.ExpectedWait
	}
	return summary
}
