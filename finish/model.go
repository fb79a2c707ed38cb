package finish

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// riskTerm is the time for which a response that took more than half of its time shows that others are at risk.
	riskTerm = time.Minute
	// riskDivisor determines the part of its time below which a predicted response counts as safe.
	riskDivisor = 2
	likelyShare = 0.5
	tailShare   = 0.9
)

type (
	// Response is a stream that has ended.
	Response struct {
		Service spoke.ServiceName
		Kind    Kind
		Events  int
		// Streamed is the time from the first event to the last.
		Streamed time.Duration
		// Prefilled is the number of prompt tokens that the engine prefilled in that time.
		Prefilled spoke.TokenCount
		// IsWhole is false if the stream was broken off, so that it would have had more events.
		IsWhole bool
		// Took is the time since the call arrived, Budget that from its arrival to its deadline.
		Took, Budget time.Duration
	}

	// Stream is a stream whose end is to be predicted.
	Stream struct {
		Service spoke.ServiceName
		Kind    Kind
		// Done is the number of events so far.
		Done Events
		// Left is the time from the first event, or from now, to the deadline; Budget that from the arrival to it.
		Left, Budget time.Duration
	}

	// Engine is the load beside which a stream runs. Without PrefillLoad nothing is prefilled beside it; Ratio is always set.
	Engine struct {
		PrefillLoad *PrefillLoad
		Ratio       *Ratio
		// Backlog is the number of prompt tokens that the engine has yet to prefill.
		Backlog spoke.TokenCount
	}

	// Forecast is the predicted end of a stream; the zero value says that nothing is known.
	Forecast struct {
		// Likely and Tail are the times left within which half and nine tenths of streams end.
		Likely, Tail time.Duration
		// Lost is the probability that the stream ends at its deadline, zero unless IsAtRisk is set.
		Lost    float64
		IsKnown bool
		// IsAtRisk says that the stream may take more than half of its time, as others of its kind have lately.
		IsAtRisk bool
	}

	// Model predicts the ends of streams from those of earlier ones.
	Model struct {
		kinds     map[Kind]*lengths
		paces     map[spoke.ServiceName]*pace
		riskUntil map[Kind]time.Time
	}

	// rates are the times of an event and of a token at an engine, and the fraction of its time that it prefills.
	rates struct {
		event, perToken, share float64
		backlog                float64
	}
)

// New returns a model that has learned nothing.
func New() *Model {
	return &Model{
		kinds: make(map[Kind]*lengths), paces: make(map[spoke.ServiceName]*pace), riskUntil: make(map[Kind]time.Time),
	}
}

// Record learns from the end of a stream at an engine.
func (m *Model) Record(now time.Time, ended Response, ratio *Ratio) {
	if ended.Events <= 0 {
		return
	}
	if m.kinds[ended.Kind] == nil && len(m.kinds) >= maxKinds {
		return
	}
	if m.kinds[ended.Kind] == nil {
		m.kinds[ended.Kind] = &lengths{}
	}
	m.kinds[ended.Kind].record(ended.Events, ended.IsWhole)
	if riskDivisor*ended.Took > ended.Budget {
		m.riskUntil[ended.Kind] = now.Add(riskTerm)
	}
	if ended.Events < leastEvents || ended.Streamed <= 0 {
		return
	}
	if m.paces[ended.Service] == nil {
		m.paces[ended.Service] = &pace{}
	}
	p, intervals := m.paces[ended.Service], float64(ended.Events-1)
	if p.isKnown() {
		usual := intervals*p.event + float64(max(ended.Prefilled, 0))*p.perToken
		ratio.observe(now, inMilliseconds(ended.Streamed)/usual)
	}
	p.observe(intervals, ended.Streamed, ended.Prefilled)
}

// MayBeAtRisk reports whether streams of the kind have lately taken more than half of their time.
func (m *Model) MayBeAtRisk(now time.Time, kind Kind) bool { return now.Before(m.riskUntil[kind]) }

// Forecast predicts the end of a stream at an engine. It is the zero value until enough responses were seen.
func (m *Model) Forecast(now time.Time, stream Stream, engine Engine) Forecast {
	known, p := m.kinds[stream.Kind], m.paces[stream.Service]
	if !known.isKnown() || !p.isKnown() {
		return Forecast{}
	}
	r := p.at(now, engine)
	f := Forecast{
		Likely: r.time(known.left(stream.Done, likelyShare)), Tail: r.time(known.left(stream.Done, tailShare)), IsKnown: true,
	}
	f.IsAtRisk = m.MayBeAtRisk(now, stream.Kind) && stream.Budget-stream.Left+f.Tail >= stream.Budget/riskDivisor
	if f.IsAtRisk {
		f.Lost = known.lost(stream.Done, stream.Done+r.within(stream.Left))
	}
	return f
}

// Done estimates the events of a stream that has run for a time in which the engine prefilled the given tokens.
func (m *Model) Done(now time.Time, service spoke.ServiceName, ran time.Duration, prefilled spoke.TokenCount, ratio *Ratio) Events {
	p := m.paces[service]
	if !p.isKnown() {
		return 1
	}
	r := p.at(now, Engine{Ratio: ratio})
	r.backlog = float64(max(prefilled, 0))
	return 1 + r.within(ran)
}

func (p *pace) at(now time.Time, engine Engine) rates {
	r := rates{event: p.event * engine.Ratio.of(now), perToken: p.perToken, backlog: float64(max(engine.Backlog, 0))}
	if engine.PrefillLoad != nil {
		r.share = min(engine.PrefillLoad.perMillisecond(now)*p.perToken, slowestShare)
	}
	return r
}

// time returns the time of a number of events.
func (r rates) time(events Events) time.Duration {
	alone := float64(events) * r.event
	ms := min((alone+r.backlog*r.perToken)/(1-r.share), alone/(1-slowestShare))
	return time.Duration(ms * float64(time.Millisecond))
}

// within returns the number of events in a time.
func (r rates) within(left time.Duration) Events {
	ms := max(inMilliseconds(left), 0)
	return Events(max(ms*(1-r.share)-r.backlog*r.perToken, ms*(1-slowestShare)) / r.event)
}
