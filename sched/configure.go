package sched

import (
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

func (a *Admission) configure(now time.Time, m spoke.ConfigureAdmission) {
	clear(a.ranks)
	for _, rank := range m.Ranks {
		a.ranks[rank.Name] = rank
	}
	clear(a.workspaces)
	for _, workspace := range m.Workspaces {
		a.workspaces[workspace.ID] = workspace
	}
	a.setOwned(now, m.Owned)
	for _, q := range slices.Clone(a.sortedQueues) {
		a.reconfigure(q)
		a.advance(now, q)
	}
}

func (a *Admission) setOwned(now time.Time, owned []spoke.UpstreamID) {
	wanted := make(map[spoke.UpstreamID]bool, len(owned))
	for _, upstream := range owned {
		wanted[upstream] = true
		if a.queues[upstream] == nil {
			q := newQueue(upstream, a.settings)
			a.queues[upstream] = q
			a.sortedQueues = append(a.sortedQueues, q)
		}
		a.queues[upstream].owned = true
	}
	slices.SortFunc(a.sortedQueues, func(x, y *queue) int {
		return strings.Compare(string(x.upstream), string(y.upstream))
	})
	for _, q := range slices.Clone(a.sortedQueues) {
		if !wanted[q.upstream] {
			a.endOwnership(now, q)
		}
	}
}

// endOwnership refuses the waiting items of a queue; its running items finish at this host.
func (a *Admission) endOwnership(now time.Time, q *queue) {
	q.owned = false
	a.refuseWaiting(now, q)
	if len(q.running) == 0 {
		a.removeQueue(q)
	}
}

// reconfigure applies the current ranks and workspace weights to a queue and removes the idle
// classes of ranks that are no longer configured.
func (a *Admission) reconfigure(q *queue) {
	for _, rank := range a.ranks {
		q.class(rank)
	}
	for _, c := range q.classes {
		c.rank = a.rank(c.rank.Name)
		for key, f := range c.flows {
			f.weight = a.weight(key.workspace)
		}
		c.updateTotalWeight()
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool {
		_, configured := a.ranks[c.rank.Name]
		return !configured && c.waiting == 0 && c.running == 0
	})
	q.sortClasses()
}
