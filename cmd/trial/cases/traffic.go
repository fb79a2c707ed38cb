package cases

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
)

const (
	answerTokens = 24
	// answerLimit bounds one request, so that a lost answer cannot hang a case.
	answerLimit = 40 * time.Second
)

type (
	// Flow is a Poisson stream of requests.
	Flow struct {
		Rank      spoke.RankName
		Workspace int
		// Rate is in requests per second.
		Rate float64
		Size spoke.ByteSize
	}

	// traffic sends flows to all entry hosts of a set-up.
	traffic struct {
		session *setup.Session
		callers []*load.Caller
		random  *rand.Rand
		prompts uint64

		mu      sync.Mutex
		samples Samples
		pending sync.WaitGroup
	}
)

func newTraffic(session *setup.Session, seed uint64) (*traffic, error) {
	t := &traffic{session: session, random: rand.New(rand.NewPCG(seed, 7)), prompts: seed << 32}
	for _, host := range session.Hosts() {
		caller, err := session.Caller(host)
		if err != nil {
			return nil, err
		}
		t.callers = append(t.callers, caller)
	}
	return t, nil
}

// run sends the flows for a time, waits for all answers and returns them.
func (t *traffic) run(ctx context.Context, span time.Duration, flows ...Flow) Samples {
	t.samples = nil
	sending, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var flowing sync.WaitGroup
	for _, flow := range flows {
		random := rand.New(rand.NewPCG(t.random.Uint64(), t.random.Uint64()))
		flowing.Go(func() { t.send(ctx, sending, flow, random) })
	}
	flowing.Wait()
	t.pending.Wait()
	return t.samples
}

func (t *traffic) send(ctx, sending context.Context, flow Flow, random *rand.Rand) {
	next := time.Now()
	for sending.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / flow.Rate * float64(time.Second)))
		if setup.Wait(sending, time.Until(next)) != nil {
			return
		}
		caller := t.pick(random)
		ask := t.ask(flow)
		t.pending.Go(func() { t.measure(ctx, caller, flow, ask) })
	}
}

func (t *traffic) pick(random *rand.Rand) *load.Caller {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers[random.IntN(len(t.callers))]
}

// setCallers changes the hosts that later requests go to.
func (t *traffic) setCallers(callers []*load.Caller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers = callers
}

func (t *traffic) measure(ctx context.Context, caller *load.Caller, flow Flow, ask load.Request) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	answer := caller.Send(ctx, ask)
	// The text was checked; keeping it would only fill memory.
	answer.Text = ""
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, Sample{Rank: flow.Rank, Workspace: flow.Workspace, Answer: answer, Ended: time.Now()})
}

// ask returns a request with a prompt that no earlier one had.
func (t *traffic) ask(flow Flow) load.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompts++
	return load.Request{
		Key: plans.Key(plans.WorkspaceID(flow.Workspace)), Model: plans.Model, Rank: flow.Rank,
		Prompt: load.Prompt(t.prompts, flow.Size), MaxTokens: answerTokens,
		Versions: []spoke.ModelVersion{plans.FirstVersion},
	}
}
