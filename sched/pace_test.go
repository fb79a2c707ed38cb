package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
)

const prefill = 100 * time.Millisecond

// serial is an upstream that prefills one prompt at a time, the most urgent first, has more
// places than that needs and decodes for half a second.
type serial struct {
	admission *sched.Admission
	now       time.Time
	items     map[spoke.AttemptID]spoke.WorkItem
	// waiting holds granted prompts; the first one is computed until done.
	waiting  []spoke.AttemptID
	done     time.Time
	decoding map[spoke.AttemptID]time.Time
	started  map[spoke.AttemptID]time.Time
	first    map[spoke.AttemptID]time.Duration
	refused  map[spoke.AttemptID]time.Duration
	preempts int
	deepest  int
}

func newSerial() *serial {
	return &serial{
		admission: place(32, sched.WithPreemption(4, 8)), now: epoch, items: map[spoke.AttemptID]spoke.WorkItem{},
		decoding: map[spoke.AttemptID]time.Time{}, started: map[spoke.AttemptID]time.Time{},
		first: map[spoke.AttemptID]time.Duration{}, refused: map[spoke.AttemptID]time.Duration{},
	}
}

func (s *serial) submit(rank spoke.RankName, workspace spoke.WorkspaceID) spoke.AttemptID {
	id := spoke.AttemptID(fmt.Sprint(len(s.items)))
	s.items[id] = spoke.WorkItem{
		Attempt: id, Upstream: "u", Workspace: workspace, Rank: rank, Cost: 4120, Preemptible: true, Enqueued: s.now,
	}
	s.handle(spoke.SubmitWork{Item: s.items[id]})
	return id
}

func (s *serial) handle(message spoke.AdmissionMessage) {
	for _, action := range s.admission.Handle(s.now, message) {
		switch a := action.(type) {
		case spoke.GrantWork:
			s.started[a.Attempt] = s.now
			s.enter(a.Attempt)
		case spoke.PreemptWork:
			s.preempts++
			s.requeue(a.Attempt)
		case spoke.RefuseWork:
			s.refused[a.Attempt] = s.now.Sub(s.items[a.Attempt].Enqueued)
		}
	}
}

// enter queues a prompt behind the one in progress and before less urgent ones.
func (s *serial) enter(id spoke.AttemptID) {
	at := len(s.waiting)
	for at > 1 && s.items[id].Rank == "urgent" && s.items[s.waiting[at-1]].Rank != "urgent" {
		at--
	}
	s.waiting = append(s.waiting[:at], append([]spoke.AttemptID{id}, s.waiting[at:]...)...)
	if len(s.waiting) == 1 {
		s.done = s.now.Add(prefill)
	}
	// The window is known once the prompts of the first second have been delivered.
	if s.now.Sub(epoch) > time.Second {
		s.deepest = max(s.deepest, len(s.waiting))
	}
}

func (s *serial) requeue(id spoke.AttemptID) {
	s.drop(id)
	s.handle(spoke.WithdrawWork{Attempt: id})
	item := s.items[id]
	item.Resumed = true
	s.handle(spoke.SubmitWork{Item: item})
}

func (s *serial) drop(id spoke.AttemptID) {
	for i, other := range s.waiting {
		if other == id {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			if i == 0 {
				s.done = s.now.Add(prefill)
			}
			return
		}
	}
}

func (s *serial) step() {
	s.now = s.now.Add(5 * time.Millisecond)
	if len(s.waiting) > 0 && !s.now.Before(s.done) {
		id := s.waiting[0]
		s.drop(id)
		s.first[id] = s.now.Sub(s.items[id].Enqueued)
		s.decoding[id] = s.now.Add(500 * time.Millisecond)
		s.handle(spoke.ReportFirstToken{Attempt: id})
	}
	for _, id := range slices.Sorted(maps.Keys(s.decoding)) {
		if !s.now.Before(s.decoding[id]) {
			delete(s.decoding, id)
			s.handle(spoke.FinishWork{Attempt: id, FirstToken: prefill, Duration: s.now.Sub(s.started[id])})
		}
	}
	if s.now.Sub(epoch)%(20*time.Millisecond) == 0 {
		s.handle(spoke.AdmissionTick{})
	}
}

// flood submits one item of a rank every period for a time; urgent ones come once a second.
func (s *serial) flood(rank spoke.RankName, period, span time.Duration) (urgent []spoke.AttemptID) {
	for end := s.now.Add(span); s.now.Before(end); s.step() {
		since := s.now.Sub(epoch)
		if since%period == 0 {
			s.submit(rank, "a")
		}
		if since%time.Second == 330*time.Millisecond {
			urgent = append(urgent, s.submit("urgent", "b"))
		}
	}
	return urgent
}

// Guards against urgent prompts that wait inside an engine behind prompts of a flood, which it
// computes one after the other although it has places for many more.
func TestUrgentPromptFindsFreePrefill(t *testing.T) {
	s := newSerial()
	urgent := s.flood("batch", 20*time.Millisecond, 20*time.Second)
	late := 0
	for _, id := range urgent {
		if s.first[id] > prefill*12/10 {
			late++
		}
	}
	assert.Assert(t, len(urgent) == 20 && late <= 2, "%d of %d are late", late, len(urgent))
	assert.Assert(t, s.preempts >= 10, "%d preemptions", s.preempts)
	assert.Assert(t, s.deepest <= 4, "%d prompts at the engine", s.deepest)
	assert.Assert(t, len(s.first) > 150, "only %d first tokens in 20 s", len(s.first))
}

// Guards against work of a flood that is accepted and not served in time: places do not show
// how fast a prefill drains the queue.
func TestFloodIsRefusedAtArrival(t *testing.T) {
	s := newSerial()
	s.flood("batch", 20*time.Millisecond, 40*time.Second)
	late, missed := 0, 0
	for id, waited := range s.refused {
		if waited > 50*time.Millisecond && s.items[id].Rank == "batch" {
			late++
		}
	}
	for _, first := range s.first {
		if first > ranks[2].FirstTokenTarget {
			missed++
		}
	}
	t.Logf("%d refused, %d of them late; %d first tokens, %d missed", len(s.refused), late, len(s.first), missed)
	assert.Assert(t, len(s.refused) > 500)
	assert.Assert(t, late <= len(s.refused)/20, "%d of %d are late", late, len(s.refused))
	assert.Assert(t, missed <= len(s.first)/20, "%d of %d miss the target", missed, len(s.first))
}

// Guards against a floor that starves because a flood of more urgent prompts fills the window.
func TestFloorPassesTheWindow(t *testing.T) {
	s := newSerial()
	for range 20 {
		s.submit("batch", "a")
	}
	s.flood("urgent", 20*time.Millisecond, 15*time.Second)
	batch := 0
	for id := range s.first {
		if s.items[id].Rank == "batch" {
			batch++
		}
	}
	assert.Assert(t, batch >= 10, "%d batch items in 15 s, floor 0.1 of 10 a second", batch)
}

// Guards against work that is accepted because the granted shares of more urgent ranks do not
// show their flood yet, and is refused when it has waited.
func TestLowerRankIsRefusedAtArrivalInUrgentFlood(t *testing.T) {
	s := newSerial()
	s.flood("normal", 120*time.Millisecond, 10*time.Second)
	calm := len(s.items)
	for end := s.now.Add(10 * time.Second); s.now.Before(end); s.step() {
		switch since := s.now.Sub(epoch); {
		case since%(40*time.Millisecond) == 0:
			s.submit("normal", "a")
		case since%(50*time.Millisecond) == 0:
			s.submit("urgent", "b")
		}
	}
	refused, late := 0, 0
	for id, waited := range s.refused {
		if s.items[id].Rank != "normal" || s.items[id].Enqueued.Sub(epoch) < 11*time.Second {
			continue
		}
		refused++
		if waited > 50*time.Millisecond {
			late++
		}
	}
	t.Logf("%d of %d normal items refused, %d of them late", refused, len(s.items)-calm, late)
	assert.Assert(t, refused > 100 && late <= refused/20, "%d of %d are late", late, refused)
}

// Guards against a workspace that keeps prompts waiting inside the engine, where those of
// workspaces below their share come after them.
func TestSmallWorkspaceWaitsForOnePrompt(t *testing.T) {
	s := newSerial()
	var small []spoke.AttemptID
	for s.now.Before(epoch.Add(20 * time.Second)) {
		since := s.now.Sub(epoch)
		if since%(20*time.Millisecond) == 0 {
			s.submit("normal", "a")
		}
		if since%(635*time.Millisecond) == 330*time.Millisecond {
			small = append(small, s.submit("normal", "b"))
		}
		s.step()
	}
	late := 0
	for _, id := range small {
		if s.first[id] > prefill*24/10 {
			late++
		}
	}
	assert.Assert(t, late <= len(small)/10, "%d of %d are late", late, len(small))
	assert.Assert(t, len(s.first) > 190, "the engine idles: %d first tokens in 20 s", len(s.first))
}
