package cache_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

var errNoResponse = errors.New("no response")

// plannerModel models a store whose blocks may change between any two actions.
type plannerModel struct {
	// metas is the current metadata of the blocks.
	metas []spoke.BlockMeta
	// found is the metadata that LookupMeta returned.
	found []spoke.BlockMeta
	// unverified marks blocks that the engine may hold without verification.
	unverified map[spoke.BlockKey]bool
	verified   map[int]bool
	nextPull   int
}

func (m *plannerModel) respond(t *rapid.T, action cache.PlannerAction) cache.PlannerMessage {
	fails := rapid.IntRange(0, 9).Draw(t, "fails") == 0
	switch a := action.(type) {
	case cache.LookupMeta:
		if fails {
			return cache.MetaDone{Block: a.Block, Err: spoke.ErrBlockMissing}
		}
		m.found[a.Block] = m.metas[a.Block]
		return cache.MetaDone{Block: a.Block, Meta: m.metas[a.Block]}
	case cache.PinBlock:
		if fails || a.Generation != m.metas[a.Block].Generation {
			return cache.PinDone{Block: a.Block, Err: spoke.ErrBlockChanged}
		}
		return cache.PinDone{Block: a.Block}
	case cache.PullBlock:
		assert.Equal(t, a.Block, m.nextPull, "blocks are pulled in order")
		assert.Equal(t, a.Import.Checksum, m.found[a.Block].Checksum)
		m.nextPull++
		took := rapid.Bool().Draw(t, "took")
		m.unverified[a.Import.Key] = took || fails
		if fails {
			return cache.PullDone{Block: a.Block, Imported: took, Err: errNoResponse}
		}
		return cache.PullDone{Block: a.Block, Imported: took}
	case cache.VerifyMeta:
		if fails {
			return cache.MetaDone{Block: a.Block, Err: errNoResponse}
		}
		if m.metas[a.Block] == m.found[a.Block] {
			m.unverified[a.Key] = false
			m.verified[a.Block] = true
		}
		return cache.MetaDone{Block: a.Block, Meta: m.metas[a.Block]}
	}
	return nil
}

// TestPlannerUsesOnlyVerifiedBlocks guards against a usable block that was not pulled and verified
// at the same generation, a doubtful block that is not reported, and an import that never finishes.
func TestPlannerUsesOnlyVerifiedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "blocks")
		model := &plannerModel{
			found:      make([]spoke.BlockMeta, count),
			unverified: make(map[spoke.BlockKey]bool),
			verified:   make(map[int]bool),
		}
		var blocks []cache.PlacedBlock
		for i := range count {
			key := spoke.BlockKey{byte(i)}
			blocks = append(blocks, cache.PlacedBlock{Key: key, Store: "store"})
			model.metas = append(model.metas, spoke.BlockMeta{Key: key, Generation: 1, Checksum: "1", Length: 8})
		}
		planner := cache.NewPlanner()
		pending := planner.Handle(cache.BeginImport{Blocks: blocks})
		for {
			if len(pending) == 0 {
				t.Fatal("no action is pending and the import has not finished")
			}
			at := rapid.IntRange(0, len(pending)-1).Draw(t, "action")
			action := pending[at]
			pending = append(pending[:at], pending[at+1:]...)
			if result, ok := action.(cache.FinishImport); ok {
				model.checkResult(t, result)
				return
			}
			if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
				changed := &model.metas[rapid.IntRange(0, count-1).Draw(t, "changed")]
				changed.Generation++
				changed.Checksum += "1"
			}
			pending = append(pending, planner.Handle(model.respond(t, action))...)
			if rapid.IntRange(0, 19).Draw(t, "limit") == 0 {
				pending = append(pending, planner.Handle(cache.ImportLimit{})...)
			}
		}
	})
}

func (m *plannerModel) checkResult(t *rapid.T, result cache.FinishImport) {
	for i := range result.Usable {
		assert.Assert(t, m.verified[i], "block %d is usable without verification", i)
	}
	reported := make(map[spoke.BlockKey]bool)
	for _, key := range result.Doubtful {
		reported[key] = true
	}
	for key, isUnverified := range m.unverified {
		assert.Equal(t, reported[key], isUnverified, "doubtful report of block %s", key)
	}
}
