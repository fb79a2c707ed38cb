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
	// Steps from a preemption until the slot is free.
	cancelSteps      = 3
	warmUp           = 30 * time.Second
	defaultRunLength = 230 * time.Second
)

type (
	// workload is a stream of requests of one workspace and rank.
	workload struct {
		workspace spoke.WorkspaceID
		rank      spoke.RankName
		perSecond float64
		// prefill and decode are mean unloaded service times in seconds.
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
		// lateRefusals counts the refusals more than a second after the submission.
		lateRefusals int
		preempted    int
		// cost is the cost of finished items in token equivalents.
		cost spoke.TokenCount
	}

	// simulator simulates one upstream with a fixed number of slots. With all slots in use, the
	// time of prefill grows by 10% and that of decoding by 50%. Further items wait in the engine.
	simulator struct {
		slots int
		// plain simulates a plain service, which has neither load reports nor first tokens.
		plain     bool
		length    time.Duration
		admission spoke.Admission
		now       time.Time
		workloads []workload
		random    []*rand.Rand
		jobs      map[spoke.AttemptID]*job
		granted   []*job
		results   map[string]*result
		attempts  int
		// limitSum is the sum of the limit over measuredSteps.
		limitSum, measuredSteps float64
	}
)

func newSimulator(admission spoke.Admission, seed uint64, workloads ...workload) *simulator {
	s := &simulator{
		slots: 16, length: defaultRunLength, admission: admission, now: epoch, workloads: workloads,
		jobs: map[spoke.AttemptID]*job{}, results: map[string]*result{},
	}
	for i, l := range workloads {
		// Separate random streams keep the arrivals of a workload equal in runs with other workloads.
		s.random = append(s.random, rand.New(rand.NewPCG(seed, uint64(i))))
		s.results[string(l.workspace)+"/"+string(l.rank)] = &result{}
	}
	return s
}

func (s *simulator) run() *simulator {
	s.send(spoke.ConfigureAdmission{Ranks: ranks, Owned: []spoke.UpstreamID{"u"}})
	for s.now.Before(epoch.Add(s.length)) {
		s.now = s.now.Add(step)
		s.arrive()
		s.serve()
		if since := s.now.Sub(epoch); since%(20*time.Millisecond) == 0 {
			s.send(spoke.AdmissionTick{})
		}
		if since := s.now.Sub(epoch); since%(500*time.Millisecond) == 0 && !s.plain {
			s.send(spoke.ReportLoad{Upstream: "u", Report: spoke.LoadReport{
				Running: min(len(s.granted), s.slots), Waiting: max(len(s.granted)-s.slots, 0), AsOf: s.now,
			}})
		}
		if s.isMeasuring() {
			s.limitSum += float64(s.admission.Summary(s.now, "u").Limit)
			s.measuredSteps++
		}
	}
	return s
}

func (s *simulator) isMeasuring() bool { return s.now.Sub(epoch) > warmUp }

func (s *simulator) arrive() {
	for i, l := range s.workloads {
		random := s.random[i]
		if random.Float64() >= l.perSecond*step.Seconds() {
			continue
		}
		spread := 0.5 + random.Float64()
		j := &job{arrived: s.now, prefill: l.prefill * spread, decode: l.decode * spread}
		j.item = spoke.WorkItem{
			Workspace: l.workspace, Rank: l.rank, Preemptible: l.preemptible,
			Cost: spoke.TokenCount(1000 * (j.prefill + j.decode)),
		}
		s.submit(j)
	}
}

func (s *simulator) submit(j *job) {
	s.attempts++
	j.item.Attempt = spoke.AttemptID(fmt.Sprint(s.attempts))
	j.item.Upstream, j.item.Enqueued = "u", s.now
	s.jobs[j.item.Attempt] = j
	s.send(spoke.SubmitWork{Item: j.item})
}

func (s *simulator) serve() {
	busy := float64(min(len(s.granted), s.slots))
	for i, j := range slices.Clone(s.granted) {
		if j.cancelIn > 0 {
			if j.cancelIn--; j.cancelIn == 0 {
				s.resubmit(j)
				continue
			}
		}
		if i >= s.slots {
			continue
		}
		if j.prefill > 0 {
			j.prefill -= step.Seconds() / (1 + 0.1*busy/float64(s.slots))
			if j.prefill <= 0 && j.first.IsZero() {
				j.first = s.now
			}
			continue
		}
		j.decode -= step.Seconds() / (1 + 0.5*busy/float64(s.slots))
		if j.decode <= 0 {
			s.finish(j)
		}
	}
}

func (s *simulator) removeJob(j *job) {
	delete(s.jobs, j.item.Attempt)
	s.granted = slices.DeleteFunc(s.granted, func(other *job) bool { return other == j })
}

// resubmit submits a preempted job again. Its prefix is mostly cached, so only a short prefill
// is added.
func (s *simulator) resubmit(j *job) {
	s.removeJob(j)
	old := j.item.Attempt
	j.item.Resumed = !j.first.IsZero()
	j.prefill += 0.02
	j.item.Cost = spoke.TokenCount(1000 * (j.prefill + j.decode))
	s.send(spoke.WithdrawWork{Attempt: old})
	s.submit(j)
}

func (s *simulator) finish(j *job) {
	s.removeJob(j)
	if r := s.result(j); s.isMeasuring() {
		r.firstTokens = append(r.firstTokens, j.first.Sub(j.arrived))
		r.cost += j.item.Cost
	}
	first := j.first.Sub(j.started)
	if j.item.Resumed || s.plain {
		first = 0
	}
	s.send(spoke.FinishWork{Attempt: j.item.Attempt, FirstToken: first, Duration: s.now.Sub(j.started)})
}

func (s *simulator) send(message spoke.AdmissionMessage) {
	for _, action := range s.admission.Handle(s.now, message) {
		switch a := action.(type) {
		case spoke.GrantWork:
			j := s.jobs[a.Attempt]
			j.started = s.now
			s.granted = append(s.granted, j)
		case spoke.RefuseWork:
			j := s.jobs[a.Attempt]
			s.removeJob(j)
			if r := s.result(j); s.isMeasuring() {
				r.refused++
				if s.now.Sub(j.item.Enqueued) > time.Second {
					r.lateRefusals++
				}
				r.refusalDelay = max(r.refusalDelay, s.now.Sub(j.item.Enqueued))
			}
		case spoke.PreemptWork:
			j := s.jobs[a.Attempt]
			j.cancelIn = cancelSteps
			s.result(j).preempted++
		}
	}
}

func (s *simulator) result(j *job) *result {
	return s.results[string(j.item.Workspace)+"/"+string(j.item.Rank)]
}

func (s *simulator) meanLimit() float64 { return s.limitSum / s.measuredSteps }

func (r *result) p95() time.Duration {
	if len(r.firstTokens) == 0 {
		return time.Hour
	}
	sorted := slices.Sorted(slices.Values(r.firstTokens))
	return sorted[len(sorted)*95/100]
}

// timely returns the number of finished items whose first token met a target.
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
