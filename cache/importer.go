package cache

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxImportBlocks bounds the blocks of one import; 64 blocks cover a prompt of 1 MiB.
	maxImportBlocks = 64
	// pinTTL exceeds the longest import, so that a pin lasts until the verification.
	pinTTL = time.Minute
	// unlimitedTimeout bounds imports of the baselines, which have no predicted time limit.
	unlimitedTimeout = 30 * time.Second
	// defaultBlockLength is assumed until the first block has been pulled.
	defaultBlockLength spoke.ByteSize = 64 << 10
)

type (
	// ImporterOption changes a setting of an Importer.
	ImporterOption func(*Importer)

	// ImportJob is the prompt of a run that is about to start at an engine.
	ImportJob struct {
		Engine spoke.Address
		// Order is the order of the run's rank; the lowest is the most urgent.
		Order int
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys []spoke.BlockKey
		// Resident is the number of leading blocks that the engine already holds.
		Resident int
		Place    *Placement
	}

	// ImportOutcome is the result of an import.
	ImportOutcome struct {
		// Imported is the number of leading missing blocks that were imported and verified.
		Imported int
		// Doubtful lists blocks that the engine may hold without verification and that no run may
		// use; if there are any, the run needs a cache nonce and the index has to mark them.
		Doubtful []spoke.BlockKey
		// Took is the time by which the import delayed the run.
		Took time.Duration
	}

	// Importer imports the missing blocks of prompts if that is predicted to be faster than
	// recomputing them; it is safe for concurrent use.
	Importer struct {
		store     spoke.BlockStore
		engine    spoke.Engine
		links     *Links
		clock     spoke.Timer
		policy    spoke.ImportPolicy
		unlimited bool

		mu        sync.Mutex
		prefill   *Rates[spoke.Address]
		allowance Allowance
		// length is the length of the last block pulled.
		length  spoke.ByteSize
		pending map[pendingKey]*pendingImport
	}

	pendingKey struct {
		engine spoke.Address
		key    spoke.BlockKey
	}

	// pendingImport is an import in progress; other runs that could use its blocks wait for it,
	// because the blocks are not yet verified.
	pendingImport struct {
		done chan struct{}
		// doubtful and saved are set before done is closed; saved is the recompute time of the
		// imported blocks.
		doubtful []spoke.BlockKey
		saved    time.Duration
	}
)

// NewImporter returns an importer that decides by predicted times.
func NewImporter(store spoke.BlockStore, engine spoke.Engine, links *Links, opts ...ImporterOption) *Importer {
	importer := &Importer{
		store:   store,
		engine:  engine,
		links:   links,
		clock:   links.clock,
		policy:  NewCheaperImport(),
		prefill: NewRates[spoke.Address](),
		length:  defaultBlockLength,
		pending: make(map[pendingKey]*pendingImport),
	}
	for _, opt := range opts {
		opt(importer)
	}
	return importer
}

// WithImportPolicy sets the policy that chooses between import and recomputation.
func WithImportPolicy(policy spoke.ImportPolicy) ImporterOption {
	return func(m *Importer) { m.policy = policy }
}

// WithoutImportLimit removes the predicted time limit, for measurements of baselines.
func WithoutImportLimit() ImporterOption { return func(m *Importer) { m.unlimited = true } }

// ObservePrefill adds a measurement of an engine's prefill rate.
func (m *Importer) ObservePrefill(at spoke.Address, tokens spoke.TokenCount, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prefill.Observe(m.clock.Now(), at, float64(tokens), took)
}

// Import imports missing blocks into the engine if that is predicted to be faster than recomputing
// them. It returns when the run may start; the outcome of a failed import has no imported blocks.
func (m *Importer) Import(ctx context.Context, job ImportJob) ImportOutcome {
	started := m.clock.Now()
	for {
		if outcome, saved, joined := m.join(ctx, job); joined {
			outcome.Took = m.clock.Now().Sub(started)
			m.settle(importPlan{}, outcome.Took, saved)
			return outcome
		}
		plan, entry := m.claim(job)
		if entry != nil {
			return m.run(ctx, job, plan, entry, started)
		}
		// Another run may have registered an import of one of the blocks since the call of join;
		// the next iteration joins it.
		if m.pendingFor(job) == nil {
			return ImportOutcome{}
		}
	}
}

// claim plans an import and registers it under one lock, so that a run that gets no allowance
// finds the pending import that reserved it.
func (m *Importer) claim(job ImportJob) (importPlan, *pendingImport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	plan, ok := m.decide(job)
	if !ok {
		return plan, nil
	}
	entry, ok := m.register(job.Engine, plan.blocks)
	if !ok {
		m.allowance.Settle(plan.grant, 0, 0)
		return plan, nil
	}
	return plan, entry
}

// run executes a registered plan.
func (m *Importer) run(ctx context.Context, job ImportJob, plan importPlan, entry *pendingImport, started time.Time) ImportOutcome {
	result := m.execute(ctx, job, plan)
	if plan.unusable {
		result.Usable = 0
	}
	took := m.clock.Now().Sub(started)
	entry.doubtful = result.Doubtful
	entry.saved = time.Duration(result.Usable) * plan.blockTime
	m.settle(plan, took, entry.saved)
	m.unregister(job.Engine, plan.blocks, entry)
	return ImportOutcome{Imported: result.Usable, Doubtful: result.Doubtful, Took: took}
}

// join waits for pending imports of blocks that the run could use. The run recomputes the blocks
// that those imports do not provide.
func (m *Importer) join(ctx context.Context, job ImportJob) (outcome ImportOutcome, saved time.Duration, joined bool) {
	for {
		other := m.pendingFor(job)
		if other == nil {
			return outcome, saved, joined
		}
		joined = true
		select {
		case <-other.done:
			outcome.Doubtful = append(outcome.Doubtful, other.doubtful...)
			saved += other.saved
		case <-ctx.Done():
			outcome.Doubtful = append(outcome.Doubtful, job.Keys...)
			return outcome, saved, true
		}
	}
}

// pendingFor returns a pending import of a block that the run could use, nil if there is none.
func (m *Importer) pendingFor(job ImportJob) *pendingImport {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range job.Keys {
		if other := m.pending[pendingKey{job.Engine, key}]; other != nil {
			return other
		}
	}
	return nil
}

// register makes other runs that could use the blocks wait; it returns false if an import of one
// of them is pending. The caller holds the lock.
func (m *Importer) register(engine spoke.Address, blocks []PlacedBlock) (*pendingImport, bool) {
	for _, block := range blocks {
		if m.pending[pendingKey{engine, block.Key}] != nil {
			return nil, false
		}
	}
	entry := &pendingImport{done: make(chan struct{})}
	for _, block := range blocks {
		m.pending[pendingKey{engine, block.Key}] = entry
	}
	return entry, true
}

// unregister removes a finished import and wakes the runs that wait for it.
func (m *Importer) unregister(engine spoke.Address, blocks []PlacedBlock, entry *pendingImport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, block := range blocks {
		delete(m.pending, pendingKey{engine, block.Key})
	}
	close(entry.done)
}
