package cache_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

// TestAllowanceBoundsLosses guards against imports that in total lose more than a tenth of the
// recompute time.
func TestAllowanceBoundsLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var allowance cache.Allowance
		var lost, recompute time.Duration
		millis := func(label string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
		}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			whole := millis("recompute", 1, 500)
			recompute += whole
			if rapid.IntRange(0, 3).Draw(t, "skip") == 0 {
				allowance.Skip(whole)
				continue
			}
			grant := allowance.Reserve(whole)
			saved := millis("saved", 0, int(whole/time.Millisecond))
			took := time.Duration(rapid.Float64Range(0, 1).Draw(t, "took") * float64(grant.Limit(saved)))
			assert.Assert(t, took <= whole)
			allowance.Settle(grant, took, saved)
			lost += took - saved
			assert.Assert(t, lost <= recompute/10+time.Microsecond, "lost %s of %s", lost, recompute)
		}
	})
}

// schedulerMachine compares a link scheduler with the transfers requested from it.
type schedulerMachine struct {
	scheduler *cache.LinkScheduler
	lastID    cache.TransferID
	waiting   map[cache.TransferID]cache.Transfer
	running   map[cache.TransferID]cache.Transfer
}

func (m *schedulerMachine) Request(t *rapid.T) {
	m.lastID++
	order := rapid.SampledFrom([]int{0, 1, 2, cache.ExportOrder}).Draw(t, "order")
	transfer := cache.Transfer{ID: m.lastID, Link: "store", Order: order, Size: 10}
	m.waiting[m.lastID] = transfer
	m.start(t, m.scheduler.Handle(cache.RequestTransfer{Transfer: transfer}))
}

func (m *schedulerMachine) End(t *rapid.T) {
	if m.lastID == 0 {
		t.Skip("no transfer")
	}
	id := cache.TransferID(rapid.Uint64Range(1, uint64(m.lastID)).Draw(t, "id"))
	delete(m.waiting, id)
	delete(m.running, id)
	m.start(t, m.scheduler.Handle(cache.EndTransfer{Transfer: cache.Transfer{ID: id, Link: "store"}}))
}

func (m *schedulerMachine) start(t *rapid.T, ids []cache.TransferID) {
	for _, id := range ids {
		started, ok := m.waiting[id]
		assert.Assert(t, ok, "transfer %d is not waiting", id)
		for _, other := range m.waiting {
			assert.Assert(t, other.Order > started.Order || (other.Order == started.Order && other.ID >= id),
				"transfer %d starts before %d", id, other.ID)
		}
		delete(m.waiting, id)
		m.running[id] = started
	}
}

func (m *schedulerMachine) Check(t *rapid.T) {
	assert.Assert(t, len(m.running) <= 2)
	exports, imports := 0, 0
	for _, transfer := range m.running {
		if transfer.Order == cache.ExportOrder {
			exports++
		}
	}
	for _, transfer := range m.waiting {
		if transfer.Order != cache.ExportOrder {
			imports++
		}
	}
	assert.Assert(t, exports <= 1)
	assert.Assert(t, imports == 0 || len(m.running) == 2, "an import waits although a slot is free")
	assert.Assert(t, len(m.waiting) == 0 || len(m.running) > 0)
	assert.Equal(t, m.scheduler.BytesAhead("store", cache.ExportOrder), spoke.ByteSize(10*(len(m.running)+len(m.waiting))))
}

// TestLinkSchedulerOrdersTransfers guards against exports ahead of imports, less urgent transfers
// ahead of urgent ones, and links that stay idle while transfers wait.
func TestLinkSchedulerOrdersTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &schedulerMachine{
			scheduler: cache.NewLinkScheduler(),
			waiting:   make(map[cache.TransferID]cache.Transfer),
			running:   make(map[cache.TransferID]cache.Transfer),
		}
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

// TestImportAndExportPolicies guards against policies that ignore the queue, an unknown rate or the
// utilisation of the link.
func TestImportAndExportPolicies(t *testing.T) {
	// A block takes 100 ms to recompute, 100 tokens at 1000/s, and 50 ms to transfer, 100 bytes at
	// 2000/s.
	query := spoke.ImportQuery{Blocks: 4, BlockLength: 100, BlockTokens: 100, LinkRate: 2000, PrefillRate: 1000}
	policy := cache.NewCheaperImport()
	assert.Equal(t, policy.Imports(query), 4)
	queued, slow, unknown := query, query, query
	queued.LinkQueue, slow.LinkRate, unknown.LinkRate = 400, 1000, 0
	assert.Equal(t, policy.Imports(queued), 0)
	assert.Equal(t, policy.Imports(slow), 0)
	assert.Equal(t, policy.Imports(unknown), 0)
	assert.Equal(t, cache.AlwaysImport{}.Imports(unknown), 4)
	assert.Equal(t, cache.NeverImport{}.Imports(query), 0)

	export := cache.LikelyExport{}
	assert.Assert(t, export.ShouldExport(spoke.ExportQuery{Uses: 1, ReuseShare: 0.1}))
	assert.Assert(t, !export.ShouldExport(spoke.ExportQuery{Uses: 1, ReuseShare: 0.01}))
	assert.Assert(t, !export.ShouldExport(spoke.ExportQuery{Uses: 1, ReuseShare: 0.3, LinkUtilisation: 0.5}))
	assert.Assert(t, export.ShouldExport(spoke.ExportQuery{Uses: 2, LinkUtilisation: 0.5}))
	assert.Assert(t, !export.ShouldExport(spoke.ExportQuery{Uses: 9, ReuseShare: 1, LinkUtilisation: 1}))
}

// TestHistoryCountsReuseByWorkspace guards against a history that mixes workspaces or does not count reused prefixes.
func TestHistoryCountsReuseByWorkspace(t *testing.T) {
	history := cache.NewHistory()
	for i := range 2000 {
		history.Record("reusing", []spoke.BlockKey{{1}})
		history.Record("single", []spoke.BlockKey{{2, byte(i), byte(i >> 8)}})
	}
	assert.Equal(t, history.Uses(spoke.BlockKey{1}), 2000)
	assert.Equal(t, history.Uses(spoke.BlockKey{2}), 1)
	assert.Assert(t, history.ReuseShare("reusing") > 0.9)
	assert.Assert(t, history.ReuseShare("single") < 0.05)
}

// TestProbeOfLinkIsDueAtIntervals guards against a link that is never probed again, or probed at every request.
func TestProbeOfLinkIsDueAtIntervals(t *testing.T) {
	start := time.Unix(1000, 0)
	rates := cache.NewRates[string]()
	assert.Assert(t, rates.ClaimProbe(start, "link"), "a probe of an unknown link is due")
	assert.Assert(t, !rates.ClaimProbe(start, "link"))
	rates.Observe(start, "link", 1e6, time.Second)
	rates.ObserveNoResponse(start, "link")
	assert.Equal(t, rates.Value("link"), 1024.0)
	assert.Assert(t, !rates.ClaimProbe(start.Add(time.Second), "link"))
	assert.Assert(t, rates.ClaimProbe(start.Add(5*time.Second), "link"))
	rates.Replace(start.Add(5*time.Second), "link", 1e6, time.Second)
	assert.Equal(t, rates.Value("link"), 1e6)
}
