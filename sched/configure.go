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
	a.own(now, m.Owned)
	for _, q := range slices.Clone(a.order) {
		a.reconfigure(q)
		a.advance(now, q)
	}
}

func (a *Admission) own(now time.Time, owned []spoke.UpstreamID) {
	wanted := make(map[spoke.UpstreamID]bool, len(owned))
	for _, upstream := range owned {
		wanted[upstream] = true
		if a.queues[upstream] == nil {
			q := newQueue(upstream, a.settings)
			a.queues[upstream] = q
			a.order = append(a.order, q)
		}
		a.queues[upstream].owned = true
	}
	slices.SortFunc(a.order, func(x, y *queue) int {
		return strings.Compare(string(x.upstream), string(y.upstream))
	})
	for _, q := range slices.Clone(a.order) {
		if !wanted[q.upstream] {
			a.disown(now, q)
		}
	}
}

// disown refuses the waiting work; running work ends under the old owner.
func (a *Admission) disown(now time.Time, q *queue) {
	q.owned = false
	a.refuseWaiting(now, q)
	if len(q.running) == 0 {
		a.forget(q)
	}
}

// reconfigure brings ranks and weights of a queue up to date.
func (a *Admission) reconfigure(q *queue) {
	for _, rank := range a.ranks {
		q.class(rank)
	}
	for _, c := range q.classes {
		c.rank = a.rank(c.rank.Name)
		for key, f := range c.flows {
			f.weight = a.weight(key.workspace)
		}
		c.sumWeights()
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool {
		_, configured := a.ranks[c.rank.Name]
		return !configured && c.waiting == 0 && c.running == 0
	})
	q.sortClasses()
}
