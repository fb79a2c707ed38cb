package crash_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/runner"
)

type finding struct {
	prompt, text string
	err          error
	took         time.Duration
}

func ask(r *runner.Runner, id int, prompt string) (f finding) {
	began := time.Now()
	f.prompt = prompt
	defer func() { f.took = time.Since(began) }()
	stream, err := r.Complete(context.Background(), spoke.Request{
		ID: spoke.RequestID(fmt.Sprintf("r%d", id)), Workspace: "sialkot", Service: "quotes",
		Model: "plume", Rank: "normal", Prompt: prompt, MaxTokens: answerTokens,
	})
	if err != nil {
		f.err = err
		return f
	}
	defer func() { _ = stream.Close() }()
	for {
		piece, err := stream.Next(context.Background())
		if errors.Is(err, io.EOF) {
			return f
		}
		if err != nil {
			f.err = err
			return f
		}
		f.text += piece.Text
	}
}

func whole(prompt string) string {
	var text string
	for i := range answerTokens {
		text += fmt.Sprintf("%s/%d ", prompt, i)
	}
	return text
}

// Guards against a request that kills upstream after upstream, resent to any
// host, and against neighbours that it takes down with it.
func TestOnePoisonousRequestCostsTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(rt, "upstreams")
		begins := rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 12).Draw(rt, "neighbours")
		hosts := rapid.SliceOfN(rapid.IntRange(0, 1), 1, 5).Draw(rt, "resends")
		var f *fleet
		var neighbours, resends []finding
		synctest.Test(t, func(*testing.T) {
			// Channels made outside would stop the bubble's time.
			f = newFleet(size)
			neighbours, resends = flood(f, begins, hosts)
		})

		for _, n := range neighbours {
			assert.NilError(rt, n.err)
			assert.Equal(rt, n.text, whole(n.prompt))
		}
		assert.Assert(rt, f.deaths <= 2, "%d upstreams died", f.deaths)
		for i, r := range resends {
			var refusal *spoke.Refusal
			assert.Assert(rt, errors.As(r.err, &refusal), "%v", r.err)
			assert.Equal(rt, refusal.Code, spoke.CodeQuarantined)
			assert.Assert(rt, refusal.RetryAfter > 9*time.Minute)
			if i > 0 {
				assert.Equal(rt, refusal.Outcome, spoke.OutcomeNotRun)
				assert.Equal(rt, r.took, time.Duration(0))
			}
		}
	})
}

// flood runs neighbours beside a poisonous request that is resent to both hosts in turn.
func flood(f *fleet, begins, hosts []int) (neighbours, resends []finding) {
	var registries [2]*crash.Registry
	var runners [2]*runner.Runner
	for i := range registries {
		registries[i] = crash.New(crash.WithAnnounce(func(mark spoke.QuarantineMark) {
			registries[1-i].Merge(time.Now(), []spoke.QuarantineMark{mark})
		}))
		runners[i] = f.host(registries[i])
	}
	var group sync.WaitGroup
	neighbours = make([]finding, len(begins))
	for i, begin := range begins {
		group.Go(func() {
			<-time.After(time.Duration(begin) * time.Millisecond)
			neighbours[i] = ask(runners[i%2], 100+i, fmt.Sprintf("neighbour-%d", i))
		})
	}
	<-time.After(300 * time.Millisecond)
	for i, host := range hosts {
		resends = append(resends, ask(runners[host], i, poison))
	}
	group.Wait()
	return neighbours, resends
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func die(r *crash.Registry, now time.Time, upstream spoke.UpstreamID, fingerprint spoke.Fingerprint) {
	attempt := spoke.AttemptID(fmt.Sprintf("%s-%s-%d", upstream, fingerprint, now.UnixNano()))
	r.Begin(now, attempt, upstream, fingerprint)
	r.End(now.Add(time.Second), attempt, true)
}

// Guards against one death that counts twice, and one that is missed on an
// upstream that came back.
func TestDeathsAreCountedOnce(t *testing.T) {
	var announced []spoke.QuarantineMark
	r := crash.New(crash.WithAnnounce(func(mark spoke.QuarantineMark) { announced = append(announced, mark) }))
	for _, attempt := range []spoke.AttemptID{"a", "b", "c"} {
		r.Begin(start, attempt, "engine-1", "f")
	}
	r.End(start.Add(time.Second), "a", true)
	r.End(start.Add(2*time.Second), "b", true)
	r.End(start.Add(2*time.Second), "c", false)
	assert.Equal(t, len(announced), 1)
	assert.DeepEqual(t, r.Admit(start, "r1", "f"), spoke.Verdict{Solo: true})
	assert.DeepEqual(t, r.Admit(start, "r2", "f"), spoke.Verdict{MustWait: true})
	r.Leave("r1", "f")
	assert.DeepEqual(t, r.Admit(start, "r2", "f"), spoke.Verdict{Solo: true})
	die(r, start.Add(5*time.Second), "engine-1", "f")
	assert.Equal(t, announced[1].Deaths, 2)
	assert.Assert(t, r.Admit(start.Add(7*time.Second), "r2", "f").Until.Equal(start.Add(6*time.Second+10*time.Minute)))
	assert.DeepEqual(t, r.Admit(start.Add(11*time.Minute), "r2", "f"), spoke.Verdict{})
}

// Guards against digests that prolong marks, lower counts or grow without bound.
func TestMergeAndBounds(t *testing.T) {
	r := crash.New(crash.WithLimit(20))
	die(r, start, "engine-1", "known")
	now := start.Add(time.Minute)
	r.Merge(now, []spoke.QuarantineMark{
		{Fingerprint: "known", Deaths: 2, Expires: now.Add(time.Hour)},
		{Fingerprint: "old", Deaths: 2, Expires: now},
		{Fingerprint: "none", Deaths: 0, Expires: now.Add(time.Minute)},
	})
	r.Merge(now, []spoke.QuarantineMark{{Fingerprint: "known", Deaths: 1, Expires: now.Add(time.Second)}})
	assert.DeepEqual(t, r.Marks(now, 10), []spoke.QuarantineMark{
		{Fingerprint: "known", Deaths: 2, Expires: now.Add(10 * time.Minute)},
	})
	for i := range 100 {
		die(r, now, "engine-1", spoke.Fingerprint(fmt.Sprintf("flood-%d", i)))
	}
	marks := r.Marks(now, 1000)
	assert.Assert(t, len(marks) <= 20)
	assert.Equal(t, marks[0].Fingerprint, spoke.Fingerprint("known"))
	assert.Equal(t, len(r.Marks(now, 3)), 3)
	assert.Equal(t, len(r.Marks(now.Add(time.Hour), 1000)), 0)
}
