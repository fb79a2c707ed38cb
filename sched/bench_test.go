package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
)

// newLoadedAdmission returns an admission whose slots are all in use and that has the given number
// of queued items per upstream, with the upstreams and their running attempts.
func newLoadedAdmission(owned, queued int) (*sched.Admission, []spoke.UpstreamID, [][]spoke.AttemptID) {
	a := sched.NewAdmission(sched.WithMaxQueued(queued+1), sched.WithLimits(16, 16, 16))
	relaxedRanks := slices.Clone(ranks)
	for i := range relaxedRanks {
		relaxedRanks[i].FirstTokenTarget = 100000 * time.Hour
	}
	var upstreams []spoke.UpstreamID
	for u := range owned {
		upstreams = append(upstreams, spoke.UpstreamID(fmt.Sprint("u", u)))
	}
	a.Handle(epoch, spoke.ConfigureAdmission{Ranks: relaxedRanks, Owned: upstreams})
	running := make([][]spoke.AttemptID, owned)
	for u, upstream := range upstreams {
		for i := range queued + 16 {
			running[u] = append(running[u], grants(a.Handle(epoch, spoke.SubmitWork{Item: newItem(u, i, upstream)}))...)
		}
	}
	return a, upstreams, running
}

func grants(actions []spoke.AdmissionAction) []spoke.AttemptID {
	var granted []spoke.AttemptID
	for _, action := range actions {
		if grant, ok := action.(spoke.GrantWork); ok {
			granted = append(granted, grant.Attempt)
		}
	}
	return granted
}

func newItem(u, i int, upstream spoke.UpstreamID) spoke.WorkItem {
	return spoke.WorkItem{
		Attempt:  spoke.AttemptID(fmt.Sprintf("%d-%d", u, i)),
		Upstream: upstream, Workspace: spoke.WorkspaceID(fmt.Sprint("w", i%30)),
		Rank: ranks[i%3].Name, Cost: 1000, Enqueued: epoch,
	}
}

func runSizes(b *testing.B, run func(b *testing.B, owned, queued int)) {
	for _, owned := range []int{1, 10, 30} {
		for _, queued := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("owned=%d/queued=%d", owned, queued), func(b *testing.B) { run(b, owned, queued) })
		}
	}
}

// BenchmarkRequest measures the submission, grant and end of one request.
func BenchmarkRequest(b *testing.B) {
	runSizes(b, func(b *testing.B, owned, queued int) {
		a, upstreams, running := newLoadedAdmission(owned, queued)
		now, n := epoch, queued+16
		b.ResetTimer()
		for b.Loop() {
			n++
			now = now.Add(time.Millisecond)
			u := n % owned
			submit := spoke.SubmitWork{Item: newItem(u, n, upstreams[u])}
			running[u] = append(running[u], grants(a.Handle(now, submit))...)
			done := running[u][0]
			running[u] = running[u][1:]
			finish := spoke.FinishWork{Attempt: done, FirstToken: 100 * time.Millisecond, Duration: time.Second}
			running[u] = append(running[u], grants(a.Handle(now, finish))...)
		}
	})
}

// BenchmarkTick measures a tick in which all waits are predicted again.
func BenchmarkTick(b *testing.B) {
	runSizes(b, func(b *testing.B, owned, queued int) {
		a, _, _ := newLoadedAdmission(owned, queued)
		now := epoch
		b.ResetTimer()
		for b.Loop() {
			now = now.Add(50 * time.Millisecond)
			a.Handle(now, spoke.AdmissionTick{})
		}
	})
}
