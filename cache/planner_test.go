package cache_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

var errNoAnswer = errors.New("no answer")

// plannerModel holds the truth about a store whose blocks change at any moment.
type plannerModel struct {
	metas  []spoke.BlockMeta
	looked []spoke.BlockMeta
	// unsettled marks blocks that the engine may hold without a verification.
	unsettled map[spoke.BlockKey]bool
	verified  map[int]bool
	nextPull  int
}

func (m *plannerModel) answer(t *rapid.T, action cache.PlannerAction) cache.PlannerMessage {
	fails := rapid.IntRange(0, 9).Draw(t, "fails") == 0
	switch a := action.(type) {
	case cache.LookupMeta:
		if fails {
			return cache.MetaDone{Block: a.Block, Err: spoke.ErrBlockMissing}
		}
		m.looked[a.Block] = m.metas[a.Block]
		return cache.MetaDone{Block: a.Block, Meta: m.metas[a.Block]}
	case cache.PinBlock:
		if fails || a.Generation != m.metas[a.Block].Generation {
			return cache.PinDone{Block: a.Block, Err: spoke.ErrBlockChanged}
		}
		return cache.PinDone{Block: a.Block}
	case cache.PullBlock:
		assert.Equal(t, a.Block, m.nextPull, "pulls go in order")
		assert.Equal(t, a.Import.Checksum, m.looked[a.Block].Checksum)
		m.nextPull++
		took := rapid.Bool().Draw(t, "took")
		m.unsettled[a.Import.Key] = took || fails
		if fails {
			return cache.PullDone{Block: a.Block, Imported: took, Err: errNoAnswer}
		}
		return cache.PullDone{Block: a.Block, Imported: took}
	case cache.VerifyMeta:
		if fails {
			return cache.MetaDone{Block: a.Block, Err: errNoAnswer}
		}
		if m.metas[a.Block] == m.looked[a.Block] {
			m.unsettled[a.Key] = false
			m.verified[a.Block] = true
		}
		return cache.MetaDone{Block: a.Block, Meta: m.metas[a.Block]}
	}
	return nil
}

// Guards against a block counted as usable that was not pulled and verified at one generation,
// against a doubtful block that goes unreported, and against an import that never ends.
func TestPlannerUsesOnlyVerifiedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "blocks")
		model := &plannerModel{
			looked:    make([]spoke.BlockMeta, count),
			unsettled: make(map[spoke.BlockKey]bool),
			verified:  make(map[int]bool),
		}
		var blocks []cache.PlacedBlock
		for i := range count {
			key := spoke.BlockKey{byte(i)}
			blocks = append(blocks, cache.PlacedBlock{Key: key, Store: "store"})
			model.metas = append(model.metas, spoke.BlockMeta{Key: key, Generation: 1, Checksum: "1", Length: 8})
		}
		planner := cache.NewPlanner()
		open := planner.Handle(cache.BeginImport{Blocks: blocks})
		for {
			if len(open) == 0 {
				t.Fatal("no action is open and the import has not finished")
			}
			at := rapid.IntRange(0, len(open)-1).Draw(t, "action")
			action := open[at]
			open = append(open[:at], open[at+1:]...)
			if result, ok := action.(cache.FinishImport); ok {
				model.checkResult(t, result)
				return
			}
			if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
				changed := &model.metas[rapid.IntRange(0, count-1).Draw(t, "changed")]
				changed.Generation++
				changed.Checksum += "1"
			}
			open = append(open, planner.Handle(model.answer(t, action))...)
			if rapid.IntRange(0, 19).Draw(t, "limit") == 0 {
				open = append(open, planner.Handle(cache.ImportLimit{})...)
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
	for key, open := range m.unsettled {
		assert.Equal(t, reported[key], open, "doubt about block %s", key)
	}
}
