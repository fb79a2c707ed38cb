package cache

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxImportBlocks bounds one import; 64 blocks cover a prompt of 1 MiB.
	maxImportBlocks = 64
	// pinTime is above the longest import, so that a pin holds until the verification.
	pinTime = time.Minute
	// unlimitedTime bounds imports of the baselines, which have no limit by prediction.
	unlimitedTime = 30 * time.Second
	// defaultBlockLength is assumed until the first block was seen.
	defaultBlockLength spoke.ByteSize = 64 << 10
)

type (
	// ImporterOption changes a setting of an Importer.
	ImporterOption func(*Importer)

	// ImportJob is the prompt of a run that is about to start at an engine.
	ImportJob struct {
		Engine spoke.Address
		// Order is that of the run's rank.
		Order int
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys []spoke.BlockKey
		// Resident is the number of leading blocks that the engine holds.
		Resident int
		Place    *Placement
	}

	// ImportOutcome tells what an import did.
	ImportOutcome struct {
		// Imported is the number of blocks that the engine now holds in addition.
		Imported int
		// Doubtful lists blocks that the engine may hold and that no run may use; if there are
		// any, the run needs a cache nonce and the index their marks.
		Doubtful []spoke.BlockKey
		// Took is the time by which the import delayed the run.
		Took time.Duration
	}

	// Importer imports the missing blocks of prompts or leaves them to be recomputed; it is
	// safe for concurrent use.
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
		length    spoke.ByteSize
		pending   map[pendingKey]*pendingImport
	}

	pendingKey struct {
		engine spoke.Address
		key    spoke.BlockKey
	}

	// pendingImport holds off other runs that could use a block before it is verified.
	pendingImport struct {
		done chan struct{}
		// doubtful and saved are set before done is closed.
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

// WithoutImportLimit lifts the time limit by prediction, for measurements of baselines.
func WithoutImportLimit() ImporterOption { return func(m *Importer) { m.unlimited = true } }

// ObservePrefill adds a measurement of an engine's prefill rate.
func (m *Importer) ObservePrefill(at spoke.Address, tokens spoke.TokenCount, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prefill.Observe(m.clock.Now(), at, float64(tokens), took)
}

// Import brings missing blocks to the engine if that is faster than recomputing them. It
// returns when the run may start; a failed import is an outcome without blocks.
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
		// Another run may have announced one of the blocks since the look above; it is joined.
		if m.pendingFor(job) == nil {
			return ImportOutcome{}
		}
	}
}

// claim decides and announces in one step, so that a run which is left without allowance finds the
// import that took it.
func (m *Importer) claim(job ImportJob) (importPlan, *pendingImport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	plan, ok := m.decide(job)
	if !ok {
		return plan, nil
	}
	entry, ok := m.announce(job.Engine, plan.blocks)
	if !ok {
		m.allowance.Settle(plan.grant, 0, 0)
		return plan, nil
	}
	return plan, entry
}

// run carries an announced plan out.
func (m *Importer) run(ctx context.Context, job ImportJob, plan importPlan, entry *pendingImport, started time.Time) ImportOutcome {
	result := m.execute(ctx, job, plan)
	if plan.useless {
		result.Usable = 0
	}
	took := m.clock.Now().Sub(started)
	entry.doubtful = result.Doubtful
	entry.saved = time.Duration(result.Usable) * plan.piece
	m.settle(plan, took, entry.saved)
	m.conclude(job.Engine, plan.blocks, entry)
	return ImportOutcome{Imported: result.Usable, Doubtful: result.Doubtful, Took: took}
}

// join waits for imports in progress of blocks that the run could use. The run recomputes what
// those imports do not bring.
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

// pendingFor returns an import in progress of a block that the run could use, nil if there is none.
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

// announce holds off other runs; the caller holds the lock.
func (m *Importer) announce(engine spoke.Address, blocks []PlacedBlock) (*pendingImport, bool) {
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

func (m *Importer) conclude(engine spoke.Address, blocks []PlacedBlock, entry *pendingImport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, block := range blocks {
		delete(m.pending, pendingKey{engine, block.Key})
	}
	close(entry.done)
}
