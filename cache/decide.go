package cache

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// pullShare is the minimum share of the time limit that remains for the first pull after the
// reserves for the verification and for the response of the engine.
const pullShare = 0.7

type (
	// importPlan is the decision to import blocks, with the limits of the attempt.
	importPlan struct {
		blocks []PlacedBlock
		// blockTime is the predicted time to recompute one block.
		blockTime time.Duration
		grant     Grant
		// probe marks the import of a single block that measures a link against the prediction.
		probe bool
		// unusable marks a probe of a block whose preceding blocks are missing at the engine.
		unusable bool
	}

	// linkEstimate describes the links of a number of leading blocks.
	linkEstimate struct {
		rate  spoke.ByteRate
		queue spoke.ByteSize
	}
)

// decide plans the import of a job; false means that the run recomputes the missing blocks. The
// caller holds the lock.
func (m *Importer) decide(job ImportJob) (importPlan, bool) {
	blocks := placeBlocks(job)
	query := spoke.ImportQuery{
		BlockLength: m.length,
		BlockTokens: spoke.PieceTokens,
		PrefillRate: spoke.TokenRate(m.prefill.Value(job.Engine)),
	}
	plan := importPlan{blockTime: durationAtRate(float64(spoke.PieceTokens), float64(query.PrefillRate))}
	query, count := m.choose(job, blocks, query)
	plan.blocks = blocks[:count]
	if m.unlimited {
		return plan, count > 0
	}
	if count == 0 {
		return m.probe(blocks, plan)
	}
	plan.grant = m.allowance.Reserve(time.Duration(count) * plan.blockTime)
	query.Blocks = 1
	if time.Duration(pullShare*float64(plan.grant.Limit(0))) < defaultOverhead+LinkTime(query) {
		// The time limit would end the import before its first block.
		m.allowance.Settle(plan.grant, 0, 0)
		return plan, false
	}
	return plan, true
}

// choose returns the largest number of leading blocks that the policy imports, and the query
// that describes them.
func (m *Importer) choose(job ImportJob, blocks []PlacedBlock, query spoke.ImportQuery) (spoke.ImportQuery, int) {
	estimates := m.linkEstimates(job, blocks)
	for count := len(blocks); count > 0; count-- {
		query.Blocks = count
		query.LinkRate, query.LinkQueue = estimates[count-1].rate, estimates[count-1].queue
		if imports := min(m.policy.Imports(query), count); imports > 0 {
			return query, imports
		}
	}
	return query, 0
}

// probe plans the import of one block over a link that is due for a probe, although the policy
// predicts no gain. It may lose at most a tenth of the time to recompute all missing blocks.
func (m *Importer) probe(blocks []PlacedBlock, plan importPlan) (importPlan, bool) {
	recompute := time.Duration(len(blocks)) * plan.blockTime
	if recompute > 0 && m.isProbing() {
		for i, block := range blocks {
			if m.links.claimProbe(block.Store) {
				plan.blocks = blocks[i : i+1]
				plan.probe = true
				plan.unusable = i > 0
				plan.grant = Grant{recompute: recompute}
				return plan, true
			}
		}
	}
	m.allowance.Skip(recompute)
	return plan, false
}

// isProbing reports whether the policy uses link measurements.
func (m *Importer) isProbing() bool {
	_, never := m.policy.(NeverImport)
	return !never
}

// linkEstimates returns, for each number of leading blocks, the combined rate of the links that
// carry them and the longest queue among them; the rate is zero if that of any link is unknown.
func (m *Importer) linkEstimates(job ImportJob, blocks []PlacedBlock) []linkEstimate {
	estimates := make([]linkEstimate, 0, len(blocks))
	var seconds float64
	var queue spoke.ByteSize
	known := true
	for i, block := range blocks {
		rate := m.links.Rate(block.Store)
		known = known && rate > 0
		queue = max(queue, m.links.bytesAhead(block.Store, job.Order))
		estimate := linkEstimate{queue: queue}
		if known {
			seconds += 1 / float64(rate)
			estimate.rate = spoke.ByteRate(float64(i+1) / seconds)
		}
		estimates = append(estimates, estimate)
	}
	return estimates
}

// settle charges an import to the allowance; saved is the recompute time of the imported blocks.
func (m *Importer) settle(plan importPlan, took, saved time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allowance.Settle(plan.grant, took, saved)
}

// placeBlocks returns the missing blocks up to the first one without a store host, at most
// maxImportBlocks.
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
