package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	models = spoke.ServiceName("models")
	desk   = spoke.ServiceName("desk")
	model  = spoke.ModelName("model-a")
)

// trial drives a scheduler through manual time.
type trial struct {
	t         *testing.T
	scheduler *place.Scheduler
	now       time.Time
	next      spoke.CallNumber
}

// newTrial returns a scheduler with engines of 100,000 tokens and two plain upstreams.
func newTrial(t *testing.T, engines int) *trial {
	t.Helper()
	return newTrialOf(t, "host-1", engines)
}

func newTrialOf(t *testing.T, host spoke.HostID, engines int) *trial {
	t.Helper()
	tr := &trial{t: t, now: time.Unix(1000, 0), scheduler: place.NewScheduler(place.Settings{
		Host: host, DataCentre: "a", RetryShare: 0.2, RetryReserve: 10, RetryWindow: 10 * time.Second,
		WeightsApply: 6 * time.Second,
	})}
	tr.handle(place.SetTable{
		Services: map[spoke.ServiceName]spoke.ServedService{
			models: {Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000, Link: 1e9}},
			desk:   {Name: desk},
		},
		Stores: []spoke.PromptStore{{Name: "store", Address: "10.0.0.9:1", DataCentre: "a", Capacity: 50000, Link: 1e9}},
	})
	for i := range engines {
		tr.list(engine(i))
	}
	for i := range 2 {
		tr.list(spoke.ListedUpstream{
			ID: spoke.UpstreamID(fmt.Sprintf("desk-%d", i)), Service: desk, DataCentre: "a", Slots: 3,
			Address: spoke.Address(fmt.Sprintf("10.0.1.%d:1", i)),
		})
	}
	return tr
}

func engine(number int) spoke.ListedUpstream {
	return spoke.ListedUpstream{
		ID: spoke.UpstreamID(fmt.Sprintf("engine-%d", number)), Service: models, DataCentre: "a", Slots: 16,
		Address: spoke.Address(fmt.Sprintf("10.0.0.%d:1", number)),
		Weights: map[spoke.ModelName]spoke.WeightVersion{model: 1},
	}
}

func (tr *trial) list(listed spoke.ListedUpstream) {
	tr.handle(place.SetUpstreams{Listed: []spoke.ListedUpstream{listed}})
}

func (tr *trial) handle(message place.Message) []place.Action {
	return tr.scheduler.Handle(tr.now, message)
}

func (tr *trial) pass(by time.Duration) []place.Action {
	tr.now = tr.now.Add(by)
	return tr.handle(place.Tick{})
}

// ask returns a call for a prompt whose last part belongs to it alone.
func (tr *trial) ask(urgency spoke.Priority, session string, shared, own spoke.TokenCount) place.Request {
	tr.next++
	return place.Request{
		Call: tr.next, Service: models, Group: "shared", Urgency: urgency,
		Arrived: tr.now, Target: tr.now.Add(400 * time.Millisecond), Deadline: tr.now.Add(10 * time.Second),
		Prompt: &spoke.PromptMetadata{Model: model, Input: shared + own, MaxOutput: 50, Parts: []spoke.PromptPart{
			{ID: spoke.PartID(session), Tokens: shared}, {ID: spoke.PartID(fmt.Sprintf("own-%d", tr.next)), Tokens: own},
		}},
	}
}

func (tr *trial) plainAsk() place.Request {
	tr.next++
	return place.Request{
		Call: tr.next, Service: desk, Arrived: tr.now,
		Target: tr.now.Add(300 * time.Millisecond), Deadline: tr.now.Add(2 * time.Second),
	}
}

// grant demands that a message leads to one grant and returns it.
func (tr *trial) grant(message place.Message) place.Grant {
	tr.t.Helper()
	actions := tr.handle(message)
	assert.Equal(tr.t, len(actions), 1, "%v", actions)
	granted, ok := actions[0].(place.Grant)
	assert.Assert(tr.t, ok, "%#v", actions[0])
	return granted
}

// refusal demands that a message leads to one refusal and returns it.
func (tr *trial) refusal(message place.Message) place.Refuse {
	tr.t.Helper()
	actions := tr.handle(message)
	assert.Equal(tr.t, len(actions), 1, "%v", actions)
	refused, ok := actions[0].(place.Refuse)
	assert.Assert(tr.t, ok, "%#v", actions[0])
	return refused
}

// waits demands that a message leads to no decision yet.
func (tr *trial) waits(message place.Message) {
	tr.t.Helper()
	actions := tr.handle(message)
	assert.Equal(tr.t, len(actions), 0, "%v", actions)
}
