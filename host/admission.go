package host

import (
	"context"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	admissionInboxSize = 1024
	// admissionPeriod bounds the delay of a refusal by predicted wait.
	admissionPeriod = 20 * time.Millisecond
	// waiterBufferSize leaves room for a grant and a preemption, so that they don't block the task.
	waiterBufferSize = 4
)

type (
	// admissionTask owns the queues of the owned upstreams.
	admissionTask struct {
		policy  spoke.Admission
		timer   spoke.Timer
		inbox   chan admissionRequest
		waiters map[spoke.AttemptID]chan<- spoke.AdmissionAction
	}

	admissionRequest struct {
		message spoke.AdmissionMessage
		// waiter receives the actions that concern a submitted item.
		waiter chan<- spoke.AdmissionAction
		// upstreams lists the upstreams to summarise if summaries is set; there is no message then.
		upstreams []spoke.UpstreamID
		summaries chan<- map[spoke.UpstreamID]spoke.LoadSummary
	}
)

func newAdmissionTask(policy spoke.Admission, timer spoke.Timer) *admissionTask {
	return &admissionTask{
		policy: policy, timer: timer,
		inbox:   make(chan admissionRequest, admissionInboxSize),
		waiters: make(map[spoke.AttemptID]chan<- spoke.AdmissionAction),
	}
}

// Submit queues an item and returns the channel of the actions that concern it.
func (t *admissionTask) Submit(ctx context.Context, item spoke.WorkItem) (<-chan spoke.AdmissionAction, error) {
	actions := make(chan spoke.AdmissionAction, waiterBufferSize)
	err := t.post(ctx, admissionRequest{message: spoke.SubmitWork{Item: item}, waiter: actions})
	return actions, err
}

// Send passes a message to the policy without waiting for its actions.
func (t *admissionTask) Send(ctx context.Context, message spoke.AdmissionMessage) {
	_ = t.post(ctx, admissionRequest{message: message})
}

// Summaries returns the load of upstreams, nil if the context ends first.
func (t *admissionTask) Summaries(ctx context.Context, upstreams []spoke.UpstreamID) map[spoke.UpstreamID]spoke.LoadSummary {
	summaries := make(chan map[spoke.UpstreamID]spoke.LoadSummary, 1)
	if t.post(ctx, admissionRequest{upstreams: upstreams, summaries: summaries}) != nil {
		return nil
	}
	select {
	case result := <-summaries:
		return result
	case <-ctx.Done():
		return nil
	}
}

func (t *admissionTask) post(ctx context.Context, request admissionRequest) error {
	select {
	case t.inbox <- request:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *admissionTask) run(ctx context.Context) error {
	ticks := t.timer.Every(admissionPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.notifyAll(t.policy.Handle(t.timer.Now(), spoke.AdmissionTick{}))
		case request := <-t.inbox:
			t.handle(request)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *admissionTask) handle(request admissionRequest) {
	if request.summaries != nil {
		request.summaries <- t.summarize(request.upstreams)
		return
	}
	switch m := request.message.(type) {
	case spoke.SubmitWork:
		t.waiters[m.Item.Attempt] = request.waiter
	case spoke.FinishWork:
		delete(t.waiters, m.Attempt)
	case spoke.WithdrawWork:
		delete(t.waiters, m.Attempt)
	}
	t.notifyAll(t.policy.Handle(t.timer.Now(), request.message))
}

func (t *admissionTask) summarize(upstreams []spoke.UpstreamID) map[spoke.UpstreamID]spoke.LoadSummary {
	now := t.timer.Now()
	result := make(map[spoke.UpstreamID]spoke.LoadSummary, len(upstreams))
	for _, id := range upstreams {
		result[id] = t.policy.Summary(now, id)
	}
	return result
}

func (t *admissionTask) notifyAll(actions []spoke.AdmissionAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case spoke.GrantWork:
			t.notify(a.Attempt, a)
		case spoke.RefuseWork:
			t.notify(a.Attempt, a)
			delete(t.waiters, a.Attempt)
		case spoke.PreemptWork:
			t.notify(a.Attempt, a)
		}
	}
}

// notify never blocks: a full buffer already holds a preemption of the same item.
func (t *admissionTask) notify(attempt spoke.AttemptID, action spoke.AdmissionAction) {
	select {
	case t.waiters[attempt] <- action:
	default:
	}
}
