package cache

import (
	"context"
	"errors"
	"time"

	"magnoliaspoke.example/spoke"
)

// verifyReserve is the share of the time limit that is reserved for the verification after the
// last pull.
const verifyReserve = 0.1

// execution performs the actions of one planner with the store and engine clients.
type execution struct {
	importer *Importer
	job      ImportJob
	plan     importPlan
	started  time.Time
	results  chan PlannerMessage
	// pulled counts the imported blocks.
	pulled int
}

// execute runs the planner until it has finished. All calls have a deadline no later than the
// time limit of the import, so the planner always finishes.
func (m *Importer) execute(ctx context.Context, job ImportJob, plan importPlan) FinishImport {
	run := &execution{
		importer: m,
		job:      job,
		plan:     plan,
		started:  m.clock.Now(),
		results:  make(chan PlannerMessage, 2*len(plan.blocks)+1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	planner := NewPlanner()
	limitTimer := m.clock.After(run.limit())
	defer func() { limitTimer.Stop() }()
	actions := planner.Handle(BeginImport{Blocks: plan.blocks})
	for {
		for _, action := range actions {
			if result, ok := action.(FinishImport); ok {
				return result
			}
			run.start(ctx, action)
		}
		select {
		case message := <-run.results:
			if done, ok := message.(PullDone); ok && done.Imported {
				// Each imported block extends the limit by the time it saves.
				run.pulled++
				limitTimer.Stop()
				limitTimer = m.clock.After(max(time.Nanosecond, run.started.Add(run.limit()).Sub(m.clock.Now())))
			}
			actions = planner.Handle(message)
		case <-limitTimer.C():
			actions = planner.Handle(ImportLimit{})
		case <-ctx.Done():
			actions = planner.Handle(ImportLimit{})
			// The calls in progress fail with the old context, and their results let the planner
			// finish. The new context keeps this case from being selected again.
			ctx = context.WithoutCancel(ctx)
		}
	}
}

// limit returns the time after the start at which the import is ended.
func (x *execution) limit() time.Duration {
	if x.importer.unlimited {
		return unlimitedTimeout
	}
	return x.plan.grant.Limit(time.Duration(x.pulled) * x.plan.blockTime)
}

// start performs one action in a goroutine and sends its result as a planner message.
func (x *execution) start(ctx context.Context, action PlannerAction) {
	limit := x.limit()
	deadline := x.started.Add(limit)
	pullDeadline := x.started.Add(time.Duration((1 - verifyReserve) * float64(limit)))
	go func() {
		switch a := action.(type) {
		case LookupMeta:
			meta, err := x.lookup(ctx, x.lookupDeadline(pullDeadline), a.PlacedBlock)
			x.results <- MetaDone{Block: a.Block, Meta: meta, Err: err}
		case PinBlock:
			ctx, cancel := x.withDeadline(ctx, pullDeadline)
			defer cancel()
			err := x.importer.store.Pin(ctx, a.Store, a.Key, a.Generation, pinTTL)
			x.results <- PinDone{Block: a.Block, Err: err}
		case PullBlock:
			imported, err := x.pull(ctx, pullDeadline, a.Import)
			x.results <- PullDone{Block: a.Block, Imported: imported, Err: err}
		case VerifyMeta:
			ctx, cancel := x.withDeadline(ctx, deadline)
			defer cancel()
			meta, err := x.importer.store.Meta(ctx, a.Store, a.Key)
			x.results <- MetaDone{Block: a.Block, Meta: meta, Err: err}
		}
	}()
}

// lookupDeadline limits lookups to the base allowance: the balance is meant for slow links, and a
// store host that does not respond to a lookup is taken for unavailable.
func (x *execution) lookupDeadline(pullDeadline time.Time) time.Time {
	if x.importer.unlimited {
		return pullDeadline
	}
	deadline := x.started.Add(baseAllowance(x.plan.grant.recompute))
	if deadline.Before(pullDeadline) {
		return deadline
	}
	return pullDeadline
}

func (x *execution) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline.Sub(x.importer.clock.Now()))
}

// lookup reads the metadata of a block from its store host. Any error except ErrBlockMissing,
// such as no response before the deadline, drops the rate of the link to its floor.
func (x *execution) lookup(ctx context.Context, deadline time.Time, block PlacedBlock) (spoke.BlockMeta, error) {
	limited, cancel := x.withDeadline(ctx, deadline)
	defer cancel()
	meta, err := x.importer.store.Meta(limited, block.Store, block.Key)
	if ctx.Err() != nil {
		return meta, err
	}
	x.importer.links.updateRates(func(now time.Time, rates *Rates[spoke.Address]) {
		switch {
		case errors.Is(err, spoke.ErrBlockMissing):
			if x.plan.probe {
				rates.ReleaseProbe(now, block.Store)
			}
		case err != nil:
			rates.ObserveNoResponse(now, block.Store)
		}
	})
	return meta, err
}

// pull acquires the link, makes the engine pull one block and measures the link.
func (x *execution) pull(ctx context.Context, deadline time.Time, block spoke.BlockImport) (bool, error) {
	limited, cancel := x.withDeadline(ctx, deadline)
	defer cancel()
	release, err := x.importer.links.Acquire(limited, block.Store, x.job.Order, block.Length)
	if err != nil {
		// The engine received no request, so the block is missed and not doubtful.
		return false, nil
	}
	defer release()
	started := x.importer.clock.Now()
	result, err := x.importer.engine.Import(limited, x.job.Engine, []spoke.BlockImport{block})
	took := x.importer.clock.Now().Sub(started)
	imported := err == nil && len(result.Imported) == 1 && result.Imported[0] == block.Key
	if ctx.Err() == nil {
		x.measure(block, imported, took, deadline.Sub(started))
	}
	return imported, err
}

// measure records the rate of a pull and the length of the block. A rejection in the first half of
// the allowed time is no measurement of the link, because the engine also rejects damaged blocks.
func (x *execution) measure(block spoke.BlockImport, imported bool, took, allowed time.Duration) {
	size := float64(block.Length)
	x.importer.links.updateRates(func(now time.Time, rates *Rates[spoke.Address]) {
		switch {
		case imported && x.plan.probe:
			rates.Replace(now, block.Store, size, took)
		case imported:
			rates.Observe(now, block.Store, size, took)
		case took > allowed/2:
			rates.ObserveTimeout(now, block.Store, size, took, x.plan.probe)
		}
	})
	x.importer.mu.Lock()
	x.importer.length = block.Length
	x.importer.mu.Unlock()
}
