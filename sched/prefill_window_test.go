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

// serialEngine simulates an upstream that prefills one prompt at a time, urgent ones first, and
// decodes each item for half a second. Its slots are never the bottleneck.
type serialEngine struct {
	admission *sched.Admission
	now       time.Time
	items     map[spoke.AttemptID]spoke.WorkItem
	// prefillQueue holds granted prompts; the prefill of the first ends at prefillDone.
	prefillQueue   []spoke.AttemptID
	prefillDone    time.Time
	decoding       map[spoke.AttemptID]time.Time
	started        map[spoke.AttemptID]time.Time
	firstTokens    map[spoke.AttemptID]time.Duration
	refused        map[spoke.AttemptID]time.Duration
	preemptions    int
	maxQueueLength int
}

func newSerialEngine() *serialEngine {
	return &serialEngine{
		admission: newAdmission(32, sched.WithPreemption(4, 8)), now: epoch, items: map[spoke.AttemptID]spoke.WorkItem{},
		decoding: map[spoke.AttemptID]time.Time{}, started: map[spoke.AttemptID]time.Time{},
		firstTokens: map[spoke.AttemptID]time.Duration{}, refused: map[spoke.AttemptID]time.Duration{},
	}
}

func (s *serialEngine) submit(rank spoke.RankName, workspace spoke.WorkspaceID) spoke.AttemptID {
	id := spoke.AttemptID(fmt.Sprint(len(s.items)))
	s.items[id] = spoke.WorkItem{
		Attempt: id, Upstream: "u", Workspace: workspace, Rank: rank, Cost: 4120, Preemptible: true, Enqueued: s.now,
	}
	s.handle(spoke.SubmitWork{Item: s.items[id]})
	return id
}

func (s *serialEngine) handle(message spoke.AdmissionMessage) {
	for _, action := range s.admission.Handle(s.now, message) {
		switch a := action.(type) {
		case spoke.GrantWork:
			s.started[a.Attempt] = s.now
			s.enqueue(a.Attempt)
		case spoke.PreemptWork:
			s.preemptions++
			s.requeue(a.Attempt)
		case spoke.RefuseWork:
			s.refused[a.Attempt] = s.now.Sub(s.items[a.Attempt].Enqueued)
		}
	}
}

// enqueue queues a prompt; an urgent one goes before less urgent ones, but behind the one in
// progress.
func (s *serialEngine) enqueue(id spoke.AttemptID) {
	index := len(s.prefillQueue)
	for index > 1 && s.items[id].Rank == "urgent" && s.items[s.prefillQueue[index-1]].Rank != "urgent" {
		index--
	}
	s.prefillQueue = append(s.prefillQueue[:index], append([]spoke.AttemptID{id}, s.prefillQueue[index:]...)...)
	if len(s.prefillQueue) == 1 {
		s.prefillDone = s.now.Add(prefill)
	}
	// The prefill window takes effect after the first tokens of the first second.
	if s.now.Sub(epoch) > time.Second {
		s.maxQueueLength = max(s.maxQueueLength, len(s.prefillQueue))
	}
}

func (s *serialEngine) requeue(id spoke.AttemptID) {
	s.dequeue(id)
	s.handle(spoke.WithdrawWork{Attempt: id})
	item := s.items[id]
	item.Resumed = true
	s.handle(spoke.SubmitWork{Item: item})
}

func (s *serialEngine) dequeue(id spoke.AttemptID) {
	for i, other := range s.prefillQueue {
		if other == id {
			s.prefillQueue = append(s.prefillQueue[:i:i], s.prefillQueue[i+1:]...)
			if i == 0 {
				s.prefillDone = s.now.Add(prefill)
			}
			return
		}
	}
}

func (s *serialEngine) step() {
	s.now = s.now.Add(5 * time.Millisecond)
	if len(s.prefillQueue) > 0 && !s.now.Before(s.prefillDone) {
		id := s.prefillQueue[0]
		s.dequeue(id)
		s.firstTokens[id] = s.now.Sub(s.items[id].Enqueued)
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

// flood submits an item of a rank every period and an urgent item once a second during a time
// span. It returns the urgent ones.
func (s *serialEngine) flood(rank spoke.RankName, period, span time.Duration) (urgent []spoke.AttemptID) {
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

// Guards against urgent prompts that wait inside the engine behind prompts of a flood: the engine
// has slots for many, but prefills them one after another.
func TestUrgentPromptPreemptsQueuedPrefills(t *testing.T) {
	s := newSerialEngine()
	urgent := s.flood("batch", 20*time.Millisecond, 20*time.Second)
	late := 0
	for _, id := range urgent {
		if s.firstTokens[id] > prefill*12/10 {
			late++
		}
	}
	assert.Assert(t, len(urgent) == 20 && late <= 2, "%d of %d are late", late, len(urgent))
	assert.Assert(t, s.preemptions >= 10, "%d preemptions", s.preemptions)
	assert.Assert(t, s.maxQueueLength <= 4, "%d prompts at the engine", s.maxQueueLength)
	assert.Assert(t, len(s.firstTokens) > 150, "only %d first tokens in 20 s", len(s.firstTokens))
}

// Guards against work of a flood that is accepted but not served in time, because the number of
// slots does not show how fast a serial prefill serves the queue.
func TestFloodIsRefusedAtArrival(t *testing.T) {
	s := newSerialEngine()
	s.flood("batch", 20*time.Millisecond, 40*time.Second)
	late, missed := 0, 0
	for id, waited := range s.refused {
		if waited > 50*time.Millisecond && s.items[id].Rank == "batch" {
			late++
		}
	}
	for _, first := range s.firstTokens {
		if first > ranks[2].FirstTokenTarget {
			missed++
		}
	}
	t.Logf("%d refused, %d of them late; %d first tokens, %d missed", len(s.refused), late, len(s.firstTokens), missed)
	assert.Assert(t, len(s.refused) > 500)
	assert.Assert(t, late <= len(s.refused)/20, "%d of %d are late", late, len(s.refused))
	assert.Assert(t, missed <= len(s.firstTokens)/20, "%d of %d miss the target", missed, len(s.firstTokens))
}

// Guards against a rank that does not get its floor because a flood of more urgent prompts fills
// the prefill window.
func TestFloorIsServedInUrgentFlood(t *testing.T) {
	s := newSerialEngine()
	for range 20 {
		s.submit("batch", "a")
	}
	s.flood("urgent", 20*time.Millisecond, 15*time.Second)
	batch := 0
	for id := range s.firstTokens {
		if s.items[id].Rank == "batch" {
			batch++
		}
	}
	assert.Assert(t, batch >= 10, "%d batch items in 15 s, floor 0.1 of 10 a second", batch)
}

// Guards against late refusals of lower ranks at the start of an urgent flood, which the granted
// shares of the more urgent ranks do not show yet.
func TestLowerRankIsRefusedAtArrivalInUrgentFlood(t *testing.T) {
	s := newSerialEngine()
	s.flood("normal", 120*time.Millisecond, 10*time.Second)
	beforeFlood := len(s.items)
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
	t.Logf("%d of %d normal items refused, %d of them late", refused, len(s.items)-beforeFlood, late)
	assert.Assert(t, refused > 100 && late <= refused/20, "%d of %d are late", late, refused)
}

// Guards against a workspace whose prompts queue inside the engine, ahead of those of workspaces
// below their share.
func TestSmallWorkspaceWaitsForOnePrompt(t *testing.T) {
	s := newSerialEngine()
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
		if s.firstTokens[id] > prefill*24/10 {
			late++
		}
	}
	assert.Assert(t, late <= len(small)/10, "%d of %d are late", late, len(small))
	assert.Assert(t, len(s.firstTokens) > 190, "the engine was idle: %d first tokens in 20 s", len(s.firstTokens))
}
