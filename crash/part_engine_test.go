package crash_test

import (
	"fmt"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

// partTraffic describes the requests of a simulated day.
type partTraffic struct {
	// perSecond is the number of requests per second of each cell.
	perSecond float64
	// faultyShare is the share of requests that contain one of faulty.
	faultyShare float64
	faulty      []spoke.PartID
	// place is the place of the faulty part among the shared ones.
	place int
	// catalogues and sessions are the numbers of different parts of these kinds in each cell.
	catalogues, sessions int
	isStopped            bool
}

// startEngine brings an engine up as a new start, mostly with a new id.
func (f *partFleet) startEngine(e *partEngine) {
	e.isDown = false
	e.busyTo = f.now
	f.order++
	e.start = spoke.UpstreamStart{ID: spoke.UpstreamID(fmt.Sprintf("engine-%d-%d", e.number, f.order)), Started: f.now}
	switch e.number % 4 {
	case 1:
		e.start.ID = spoke.UpstreamID(fmt.Sprintf("engine-%d", e.number))
	case 2:
		e.start.Started = time.Time{}
	}
}

// process lets the engine compute the prompt and begin the answer.
func (f *partFleet) process(e *partEngine, run *partRequestRun) {
	e.runs = append(e.runs, run)
	from := f.now
	if e.busyTo.After(from) {
		from = e.busyTo
	}
	e.busyTo = from.Add(f.between(20*time.Millisecond, 100*time.Millisecond))
	f.after(e.busyTo.Sub(f.now), func() {
		if run.isOver {
			return
		}
		if part := f.deadlyPart(run.request.parts); part != "" {
			f.crashesOf[part] = append(f.crashesOf[part], f.now)
			f.crashes = append(f.crashes, f.now)
			f.crash(e)
			f.onCrash()
			return
		}
		run.hasBegun = true
		f.tell(run, func() { run.host.registry.Began(f.now, run.id) })
		f.after(f.between(200*time.Millisecond, 4*time.Second), func() { f.finish(e, run) })
	})
}

// tell runs a step at the host of the attempt, unless it has restarted.
func (f *partFleet) tell(run *partRequestRun, step func()) {
	f.after(f.between(time.Millisecond, 10*time.Millisecond), func() {
		if run.host.starts == run.starts && !run.host.isDown {
			step()
		}
	})
}

func (f *partFleet) finish(e *partEngine, run *partRequestRun) {
	if run.isOver {
		return
	}
	run.isOver = true
	e.runs = slices.DeleteFunc(e.runs, func(r *partRequestRun) bool { return r == run })
	f.countsOf(run.request).served++
	f.tell(run, func() { run.host.registry.End(f.now, run.id, crash.PartEndServed) })
}

// crash breaks all attempts at the engine, which is back after some seconds.
func (f *partFleet) crash(e *partEngine) {
	if e.isDown {
		return
	}
	e.isDown = true
	for _, run := range e.runs {
		run.isOver = true
		f.after(f.between(0, 50*time.Millisecond), func() { f.tell(run, func() { f.lose(run) }) })
	}
	e.runs = nil
	f.after(f.between(2*time.Second, 6*time.Second), func() { f.startEngine(e) })
}

// lose lets a host notice that a crash has ended an attempt, and send the request again.
func (f *partFleet) lose(run *partRequestRun) {
	ending := crash.PartEndCrashed
	if f.random.Float64() < f.missed {
		ending = crash.PartEndOther
	}
	run.host.registry.End(f.now, run.id, ending)
	if ending == crash.PartEndCrashed {
		f.hits[run.request.fingerprint]++
	}
	if run.hasBegun || run.request.attempts >= maxPartAttempts {
		f.fail(run.request)
		return
	}
	f.try(run.host, run.starts, run.request)
}

// startTraffic lets requests arrive in all cells.
func (f *partFleet) startTraffic(traffic partTraffic) {
	f.traffic = traffic
	cells := 0
	for _, h := range f.hosts {
		cells = max(cells, h.cell+1)
	}
	for cell := range cells {
		f.arrive(cell)
	}
}

func (f *partFleet) arrive(cell int) {
	if f.traffic.isStopped {
		return
	}
	gap := time.Duration(f.random.ExpFloat64() / f.traffic.perSecond * float64(time.Second))
	f.after(gap, func() {
		f.send(f.newRequest(cell))
		f.arrive(cell)
	})
}

// newRequest returns a request with parts of decreasing popularity, the last one of its own.
func (f *partFleet) newRequest(cell int) *partRequest {
	f.requests++
	ids := []spoke.PartID{
		"system",
		spoke.PartID(fmt.Sprintf("workspace-%d-%d", cell, f.random.IntN(3))),
		spoke.PartID(fmt.Sprintf("catalogue-%d-%d", cell, f.random.IntN(max(f.traffic.catalogues, 1)))),
	}
	if f.traffic.sessions > 0 {
		ids = append(ids, spoke.PartID(fmt.Sprintf("session-%d-%d", cell, f.random.IntN(f.traffic.sessions))))
	}
	if len(f.traffic.faulty) > 0 && f.random.Float64() < f.traffic.faultyShare {
		faulty := f.traffic.faulty[f.random.IntN(len(f.traffic.faulty))]
		ids = slices.Insert(ids, f.traffic.place%(len(ids)+1), faulty)
	}
	ids = append(ids, spoke.PartID(fmt.Sprintf("own-%d", f.requests)))
	request := &partRequest{cell: cell, fingerprint: spoke.Fingerprint(fmt.Sprint(f.requests))}
	for _, id := range ids {
		request.parts = append(request.parts, spoke.PromptPart{ID: id, Tokens: 100})
	}
	return request
}
