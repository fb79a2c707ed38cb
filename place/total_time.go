package place

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/finish"
)

const (
	// lostStreamCost is the cost of a stream that ends at its deadline, as latency for its caller. The time that engines
	// spent on it is lost as well. Four times as much saved few more streams in the replay of package finish and made more
	// first events late.
	lostStreamCost = 1200 * time.Millisecond
	// slackTerm is the time for which the slack of an engine's streams is kept, since it changes slowly.
	slackTerm = 20 * time.Millisecond
)

// ownSlack is the slack of the own streams of an engine, as of a time.
type ownSlack struct {
	at    time.Time
	slack finish.Slack
}

func kindOf(m Request) finish.Kind { return finish.Kind{Route: m.Route, Size: OutputSize(m.Prompt)} }

// totalTimeCost predicts the end of a call's stream at a candidate. It returns the cost of missing the deadline, and
// of the running streams that the prefill of its prompt pushes past theirs.
func (s *Scheduler) totalTimeCost(now time.Time, m Request, c *candidate, prefill time.Duration) time.Duration {
	if m.GapTarget <= 0 {
		return 0
	}
	stream := finish.Stream{
		Service: m.Service, Kind: kindOf(m), Left: m.Deadline.Sub(now) - c.firstEvent, Budget: m.Deadline.Sub(m.Arrived),
	}
	c.finish = s.finish.Forecast(now, stream, c.node.beside(0))
	lost := c.finish.Lost + s.slackOf(now, c.node).Pushed(prefill)
	for _, load := range c.node.peers {
		lost += finish.Slack{Least: load.Slack, Streams: load.SlackStreams}.Pushed(prefill)
	}
	return time.Duration(lost * float64(lostStreamCost))
}

func (n *node) beside(backlog spoke.TokenCount) finish.Engine {
	return finish.Engine{PrefillLoad: &n.prefillLoad, Ratio: &n.eventRatio, Backlog: backlog}
}

// prefilledSoFar estimates the number of prompt tokens that the engine has prefilled since this host knows it.
func (n *node) prefilledSoFar(now time.Time) spoke.TokenCount {
	return spoke.TokenCount(n.prefillLoad.Total) - n.backlog(now)
}

// slackOf returns the slack of the own streams at risk of an engine.
func (s *Scheduler) slackOf(now time.Time, n *node) finish.Slack {
	if !n.slack.at.IsZero() && now.Sub(n.slack.at) < slackTerm {
		return n.slack.slack
	}
	var slacks []time.Duration
	var engine finish.Engine
	for _, run := range n.runs {
		m := run.request
		if !run.hasBegun || m.GapTarget <= 0 || m.Prompt == nil || !s.finish.MayBeAtRisk(now, kindOf(m)) {
			continue
		}
		if engine.Ratio == nil {
			engine = n.beside(n.backlog(now))
		}
		prefilled := n.prefilledSoFar(now) - run.prefilledBefore
		left := m.Deadline.Sub(now)
		f := s.finish.Forecast(now, finish.Stream{
			Service: m.Service, Kind: kindOf(m), Left: left, Budget: m.Deadline.Sub(m.Arrived),
			Done: s.finish.Done(now, m.Service, now.Sub(run.beganAt), prefilled, engine.Ratio),
		}, engine)
		if f.IsAtRisk {
			// A stream that is likely to end in time, too, is lost if it turns out to be long.
			slacks = append(slacks, left-f.Tail)
		}
	}
	n.slack = ownSlack{now, finish.SlackOf(slacks)}
	return n.slack.slack
}

// streamBegan records what the prediction of the rest of a stream needs.
func (run *runningCall) streamBegan(now time.Time) {
	run.beganAt = now
	if run.request.GapTarget > 0 && run.request.Prompt != nil {
		run.prefilledBefore = run.node.prefilledSoFar(now)
	}
}

// recordFinish learns from the end of a stream. An engine that failed does not show how long events take.
func (s *Scheduler) recordFinish(now time.Time, run *runningCall, m Ended) {
	request := run.request
	isShown := m.Ending == EndServed || m.Ending == EndCancelled
	if m.Events == 0 || !isShown || !run.hasBegun || request.GapTarget <= 0 || request.Prompt == nil {
		return
	}
	s.finish.Record(now, finish.Response{
		Service: request.Service, Kind: kindOf(request), Events: m.Events, Streamed: m.Streamed, IsWhole: m.Ending == EndServed,
		Prefilled: run.node.prefilledSoFar(now) - run.prefilledBefore,
		Took:      now.Sub(request.Arrived), Budget: request.Deadline.Sub(request.Arrived),
	}, &run.node.eventRatio)
}
