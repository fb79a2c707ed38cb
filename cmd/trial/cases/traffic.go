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
	// requestTimeout bounds one request, so that a lost answer cannot block a case.
	requestTimeout = 40 * time.Second
)

type (
	// Flow is a stream of requests with Poisson arrivals.
	Flow struct {
		Rank      spoke.RankName
		Workspace int
		// Rate is in requests per second.
		Rate float64
		Size spoke.ByteSize
	}

	// trafficGenerator sends flows to the entry hosts of a set-up and collects the samples.
	trafficGenerator struct {
		session        *setup.Session
		callers        []*load.Caller
		random         *rand.Rand
		lastPromptSeed uint64

		mu      sync.Mutex
		samples Samples
		pending sync.WaitGroup
	}
)

func newTrafficGenerator(session *setup.Session, seed uint64) (*trafficGenerator, error) {
	t := &trafficGenerator{session: session, random: rand.New(rand.NewPCG(seed, 7)), lastPromptSeed: seed << 32}
	for _, host := range session.Hosts() {
		caller, err := session.Caller(host)
		if err != nil {
			return nil, err
		}
		t.callers = append(t.callers, caller)
	}
	return t, nil
}

// run sends the flows for the given time, waits for all answers and returns the samples.
func (t *trafficGenerator) run(ctx context.Context, span time.Duration, flows ...Flow) Samples {
	t.samples = nil
	sendCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var senders sync.WaitGroup
	for _, flow := range flows {
		random := rand.New(rand.NewPCG(t.random.Uint64(), t.random.Uint64()))
		senders.Go(func() { t.send(ctx, sendCtx, flow, random) })
	}
	senders.Wait()
	t.pending.Wait()
	return t.samples
}

func (t *trafficGenerator) send(ctx, sendCtx context.Context, flow Flow, random *rand.Rand) {
	next := time.Now()
	for sendCtx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / flow.Rate * float64(time.Second)))
		if setup.Sleep(sendCtx, time.Until(next)) != nil {
			return
		}
		caller := t.pickCaller(random)
		request := t.newRequest(flow)
		t.pending.Go(func() { t.measure(ctx, caller, flow, request) })
	}
}

func (t *trafficGenerator) pickCaller(random *rand.Rand) *load.Caller {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers[random.IntN(len(t.callers))]
}

// setCallers sets the callers, one for each host, that later requests are sent through.
func (t *trafficGenerator) setCallers(callers []*load.Caller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers = callers
}

func (t *trafficGenerator) measure(ctx context.Context, caller *load.Caller, flow Flow, request load.Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer := caller.Send(ctx, request)
	// The text has been verified; it is dropped to save memory.
	answer.Text = ""
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, Sample{Rank: flow.Rank, Workspace: flow.Workspace, Answer: answer, Ended: time.Now()})
}

// newRequest returns a request with a prompt that no earlier request of this generator had.
func (t *trafficGenerator) newRequest(flow Flow) load.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastPromptSeed++
	return load.Request{
		Key: plans.Key(plans.WorkspaceID(flow.Workspace)), Model: plans.Model, Rank: flow.Rank,
		Prompt: load.Prompt(t.lastPromptSeed, flow.Size), MaxTokens: answerTokens,
		Versions: []spoke.ModelVersion{plans.FirstVersion},
	}
}
