package cache

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// pullShare is the least share of the time limit that is left for the first pull, after the
// reserves for the verification and for the engine's answer.
const pullShare = 0.7

type (
	// importPlan is the decision to import blocks, with the limits of the attempt.
	importPlan struct {
		blocks []PlacedBlock
		// piece is the predicted time to recompute one block.
		piece time.Duration
		grant Grant
		probe bool
		// useless marks a probe of a block whose predecessors are missing.
		useless bool
	}

	linkPath struct {
		rate  spoke.ByteRate
		queue spoke.ByteSize
	}
)

// decide chooses the blocks to import; false means that the run recomputes what is missing. The
// caller holds the lock.
func (m *Importer) decide(job ImportJob) (importPlan, bool) {
	blocks := placeBlocks(job)
	query := spoke.ImportQuery{
		BlockLength: m.length,
		BlockTokens: spoke.PieceTokens,
		PrefillRate: spoke.TokenRate(m.prefill.Value(job.Engine)),
	}
	plan := importPlan{piece: quotient(float64(spoke.PieceTokens), float64(query.PrefillRate))}
	query, count := m.choose(job, blocks, query)
	plan.blocks = blocks[:count]
	if m.unlimited {
		return plan, count > 0
	}
	if count == 0 {
		return m.probe(blocks, plan)
	}
	plan.grant = m.allowance.Open(time.Duration(count) * plan.piece)
	query.Blocks = 1
	if time.Duration(pullShare*float64(plan.grant.Limit(0))) < defaultOverhead+LinkTime(query) {
		// The limit would end the import before its first block.
		m.allowance.Settle(plan.grant, 0, 0)
		return plan, false
	}
	return plan, true
}

// choose returns the largest number of leading blocks that the policy imports, with the query
// that describes them.
func (m *Importer) choose(job ImportJob, blocks []PlacedBlock, query spoke.ImportQuery) (spoke.ImportQuery, int) {
	path := m.paths(job, blocks)
	for count := len(blocks); count > 0; count-- {
		query.Blocks = count
		query.LinkRate, query.LinkQueue = path[count-1].rate, path[count-1].queue
		if imports := min(m.policy.Imports(query), count); imports > 0 {
			return query, imports
		}
	}
	return query, 0
}

// probe tries a link of a prompt against the prediction from time to time, with no more time
// than a tenth of recomputing all missing blocks.
func (m *Importer) probe(blocks []PlacedBlock, plan importPlan) (importPlan, bool) {
	recompute := time.Duration(len(blocks)) * plan.piece
	if recompute > 0 && m.isProbing() {
		for i, block := range blocks {
			if m.links.claimProbe(block.Store) {
				plan.blocks = blocks[i : i+1]
				plan.probe = true
				plan.useless = i > 0
				plan.grant = Grant{recompute: recompute}
				return plan, true
			}
		}
	}
	m.allowance.Skip(recompute)
	return plan, false
}

// isProbing reports whether the policy has a use for measurements.
func (m *Importer) isProbing() bool {
	_, never := m.policy.(NeverImport)
	return !never
}

// paths returns for each number of leading blocks the common rate of the links that they come
// over, and the longest queue among them; the rate is zero if that of any link is unknown.
func (m *Importer) paths(job ImportJob, blocks []PlacedBlock) []linkPath {
	paths := make([]linkPath, 0, len(blocks))
	var seconds float64
	var queue spoke.ByteSize
	known := true
	for i, block := range blocks {
		rate := m.links.Rate(block.Store)
		known = known && rate > 0
		queue = max(queue, m.links.queue(block.Store, job.Order))
		path := linkPath{queue: queue}
		if known {
			seconds += 1 / float64(rate)
			path.rate = spoke.ByteRate(float64(i+1) / seconds)
		}
		paths = append(paths, path)
	}
	return paths
}

func (m *Importer) settle(plan importPlan, took, saved time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allowance.Settle(plan.grant, took, saved)
}

// placeBlocks returns the missing blocks up to the first one without a store host.
func placeBlocks(job ImportJob) []PlacedBlock {
	var blocks []PlacedBlock
	for _, key := range job.Keys[min(job.Resident, len(job.Keys)):] {
		host, ok := job.Place.Host(key)
		if !ok || len(blocks) == maxImportBlocks {
			break
		}
		blocks = append(blocks, PlacedBlock{Key: key, Store: host.Address})
	}
	return blocks
}
