package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	step = 2 * time.Millisecond
	// Time from a preemption to the freed place.
	cancelSteps      = 3
	warmUp           = 30 * time.Second
	defaultRunLength = 230 * time.Second
)

type (
	// load is a stream of requests of one workspace and rank.
	workload struct {
		workspace spoke.WorkspaceID
		rank      spoke.RankName
		perSecond float64
		// prefill and decode are mean service times without other work, in seconds.
		prefill, decode float64
		preemptible     bool
	}

	job struct {
		item            spoke.WorkItem
		arrived         time.Time
		started         time.Time
		prefill, decode float64
		first           time.Time
		cancelIn        int
	}

	result struct {
		firstTokens  []time.Duration
		refused      int
		refusalDelay time.Duration
		// lateRefusals counts those that came after more than a second.
		lateRefusals int
		preempted    int
		// cost is finished work in token equivalents.
		cost spoke.TokenCount
	}

	// model is one upstream with a fixed number of slots: prefill slows down slightly and
	// decoding by half when all slots are busy; items above the slots wait in the engine.
	simulator struct {
		slots int
		// plain stands for services without load reports and first tokens.
		plain     bool
		length    time.Duration
		admission spoke.Admission
		now       time.Time
		loads     []workload
		random    []*rand.Rand
		jobs      map[spoke.AttemptID]*job
		granted   []*job
		results   map[string]*result
		attempts  int
		// limits sums the limit over the measured steps.
		limitSum, measuredSteps float64
	}
)

func newSimulator(admission spoke.Admission, seed uint64, loads ...workload) *simulator {
	m := &simulator{
		slots: 16, length: defaultRunLength, admission: admission, now: epoch, loads: loads,
		jobs: map[spoke.AttemptID]*job{}, results: map[string]*result{},
	}
	for i, l := range loads {
		// Streams of their own keep the arrivals of one load equal in runs with other loads.
		m.random = append(m.random, rand.New(rand.NewPCG(seed, uint64(i))))
		m.results[string(l.workspace)+"/"+string(l.rank)] = &result{}
	}
	return m
}

func (m *simulator) run() *simulator {
	m.send(spoke.ConfigureAdmission{Ranks: ranks, Owned: []spoke.UpstreamID{"u"}})
	for m.now.Before(epoch.Add(m.length)) {
		m.now = m.now.Add(step)
		m.arrive()
		m.serve()
		if since := m.now.Sub(epoch); since%(20*time.Millisecond) == 0 {
			m.send(spoke.AdmissionTick{})
		}
		if since := m.now.Sub(epoch); since%(500*time.Millisecond) == 0 && !m.plain {
			m.send(spoke.ReportLoad{Upstream: "u", Report: spoke.LoadReport{
				Running: min(len(m.granted), m.slots), Waiting: max(len(m.granted)-m.slots, 0), AsOf: m.now,
			}})
		}
		if m.isMeasuring() {
			m.limitSum += float64(m.admission.Summary(m.now, "u").Limit)
			m.measuredSteps++
		}
	}
	return m
}

func (m *simulator) isMeasuring() bool { return m.now.Sub(epoch) > warmUp }

func (m *simulator) arrive() {
	for i, l := range m.loads {
		random := m.random[i]
		if random.Float64() >= l.perSecond*step.Seconds() {
			continue
		}
		spread := 0.5 + random.Float64()
		j := &job{arrived: m.now, prefill: l.prefill * spread, decode: l.decode * spread}
		j.item = spoke.WorkItem{
			Workspace: l.workspace, Rank: l.rank, Preemptible: l.preemptible,
			Cost: spoke.TokenCount(1000 * (j.prefill + j.decode)),
		}
		m.submit(j)
	}
}

func (m *simulator) submit(j *job) {
	m.attempts++
	j.item.Attempt = spoke.AttemptID(fmt.Sprint(m.attempts))
	j.item.Upstream, j.item.Enqueued = "u", m.now
	m.jobs[j.item.Attempt] = j
	m.send(spoke.SubmitWork{Item: j.item})
}

func (m *simulator) serve() {
	busy := float64(min(len(m.granted), m.slots))
	for i, j := range slices.Clone(m.granted) {
		if j.cancelIn > 0 {
			if j.cancelIn--; j.cancelIn == 0 {
				m.resubmit(j)
				continue
			}
		}
		if i >= m.slots {
			continue
		}
		if j.prefill > 0 {
			j.prefill -= step.Seconds() / (1 + 0.1*busy/float64(m.slots))
			if j.prefill <= 0 && j.first.IsZero() {
				j.first = m.now
			}
			continue
		}
		j.decode -= step.Seconds() / (1 + 0.5*busy/float64(m.slots))
		if j.decode <= 0 {
			m.finish(j)
		}
	}
}

func (m *simulator) removeJob(j *job) {
	delete(m.jobs, j.item.Attempt)
	m.granted = slices.DeleteFunc(m.granted, func(other *job) bool { return other == j })
}

// resubmit continues a preempted job; its prefix is mostly cached.
func (m *simulator) resubmit(j *job) {
	m.removeJob(j)
	old := j.item.Attempt
	j.item.Resumed = !j.first.IsZero()
	j.prefill += 0.02
	j.item.Cost = spoke.TokenCount(1000 * (j.prefill + j.decode))
	m.send(spoke.WithdrawWork{Attempt: old})
	m.submit(j)
}

func (m *simulator) finish(j *job) {
	m.removeJob(j)
	if r := m.result(j); m.isMeasuring() {
		r.firstTokens = append(r.firstTokens, j.first.Sub(j.arrived))
		r.cost += j.item.Cost
	}
	first := j.first.Sub(j.started)
	if j.item.Resumed || m.plain {
		first = 0
	}
	m.send(spoke.FinishWork{Attempt: j.item.Attempt, FirstToken: first, Duration: m.now.Sub(j.started)})
}

func (m *simulator) send(message spoke.AdmissionMessage) {
	for _, action := range m.admission.Handle(m.now, message) {
		switch a := action.(type) {
		case spoke.GrantWork:
			j := m.jobs[a.Attempt]
			j.started = m.now
			m.granted = append(m.granted, j)
		case spoke.RefuseWork:
			j := m.jobs[a.Attempt]
			m.removeJob(j)
			if r := m.result(j); m.isMeasuring() {
				r.refused++
				if m.now.Sub(j.item.Enqueued) > time.Second {
					r.lateRefusals++
				}
				r.refusalDelay = max(r.refusalDelay, m.now.Sub(j.item.Enqueued))
			}
		case spoke.PreemptWork:
			j := m.jobs[a.Attempt]
			j.cancelIn = cancelSteps
			m.result(j).preempted++
		}
	}
}

func (m *simulator) result(j *job) *result {
	return m.results[string(j.item.Workspace)+"/"+string(j.item.Rank)]
}

func (m *simulator) meanLimit() float64 { return m.limitSum / m.measuredSteps }

func (r *result) p95() time.Duration {
	if len(r.firstTokens) == 0 {
		return time.Hour
	}
	sorted := slices.Sorted(slices.Values(r.firstTokens))
	return sorted[len(sorted)*95/100]
}

// timely counts the answers whose first token met a target.
func (r *result) timely(target time.Duration) int {
	n := 0
	for _, t := range r.firstTokens {
		if t <= target {
			n++
		}
	}
	return n
}

func (r *result) String() string {
	return fmt.Sprintf("p95 %s, %d finished, %d refused (%d late, delay up to %s), %d preempted, cost %d",
		r.p95(), len(r.firstTokens), r.refused, r.lateRefusals, r.refusalDelay, r.preempted, r.cost)
}
