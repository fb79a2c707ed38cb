package cache_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

// Guards against imports that together lose more than a tenth of recomputing.
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
			grant := allowance.Open(whole)
			arrived := millis("arrived", 0, int(whole/time.Millisecond))
			took := time.Duration(rapid.Float64Range(0, 1).Draw(t, "took") * float64(grant.Limit(arrived)))
			assert.Assert(t, took <= whole)
			allowance.Settle(grant, took, arrived)
			lost += took - arrived
			assert.Assert(t, lost <= recompute/10+time.Microsecond, "lost %s of %s", lost, recompute)
		}
	})
}

// budgetMachine compares a link budget with the transfers that it was given.
type budgetMachine struct {
	budget  *cache.LinkBudget
	last    cache.TransferID
	waiting map[cache.TransferID]cache.Transfer
	running map[cache.TransferID]cache.Transfer
}

func (m *budgetMachine) Request(t *rapid.T) {
	m.last++
	order := rapid.SampledFrom([]int{0, 1, 2, cache.ExportOrder}).Draw(t, "order")
	transfer := cache.Transfer{ID: m.last, Link: "store", Order: order, Size: 10}
	m.waiting[m.last] = transfer
	m.start(t, m.budget.Handle(cache.RequestTransfer{Transfer: transfer}))
}

func (m *budgetMachine) End(t *rapid.T) {
	if m.last == 0 {
		t.Skip("no transfer")
	}
	id := cache.TransferID(rapid.Uint64Range(1, uint64(m.last)).Draw(t, "id"))
	delete(m.waiting, id)
	delete(m.running, id)
	m.start(t, m.budget.Handle(cache.EndTransfer{Transfer: cache.Transfer{ID: id, Link: "store"}}))
}

func (m *budgetMachine) start(t *rapid.T, ids []cache.TransferID) {
	for _, id := range ids {
		started, ok := m.waiting[id]
		assert.Assert(t, ok, "transfer %d does not wait", id)
		for _, other := range m.waiting {
			assert.Assert(t, other.Order > started.Order || (other.Order == started.Order && other.ID >= id),
				"transfer %d overtakes %d", id, other.ID)
		}
		delete(m.waiting, id)
		m.running[id] = started
	}
}

func (m *budgetMachine) Check(t *rapid.T) {
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
	assert.Assert(t, imports == 0 || len(m.running) == 2, "an import waits for a free link")
	assert.Assert(t, len(m.waiting) == 0 || len(m.running) > 0)
	assert.Equal(t, m.budget.Queue("store", cache.ExportOrder), spoke.ByteSize(10*(len(m.running)+len(m.waiting))))
}

// Guards against exports ahead of imports, less urgent work ahead of urgent work, and links
// that stay idle while work waits.
func TestLinkBudgetMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &budgetMachine{
			budget:  cache.NewLinkBudget(),
			waiting: make(map[cache.TransferID]cache.Transfer),
			running: make(map[cache.TransferID]cache.Transfer),
		}
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

// Guards against policies that ignore the queue, an unknown rate or a busy link.
func TestPolicies(t *testing.T) {
	// 100 tokens at 1000/s take 100 ms a block; 100 bytes at 2000/s take 50 ms.
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
	assert.Assert(t, export.ShouldExport(spoke.ExportQuery{Uses: 1, ReuseRate: 0.1}))
	assert.Assert(t, !export.ShouldExport(spoke.ExportQuery{Uses: 1, ReuseRate: 0.01}))
	assert.Assert(t, !export.ShouldExport(spoke.ExportQuery{Uses: 1, ReuseRate: 0.3, LinkUtilisation: 0.5}))
	assert.Assert(t, export.ShouldExport(spoke.ExportQuery{Uses: 2, LinkUtilisation: 0.5}))
	assert.Assert(t, !export.ShouldExport(spoke.ExportQuery{Uses: 9, ReuseRate: 1, LinkUtilisation: 1}))
}

// Guards against a history that mixes workspaces or misses returns.
func TestHistory(t *testing.T) {
	history := cache.NewHistory()
	for i := range 2000 {
		history.Record("returning", []spoke.BlockKey{{1}})
		history.Record("single", []spoke.BlockKey{{2, byte(i), byte(i >> 8)}})
	}
	assert.Equal(t, history.Uses(spoke.BlockKey{1}), 2000)
	assert.Equal(t, history.Uses(spoke.BlockKey{2}), 1)
	assert.Assert(t, history.Returns("returning") > 0.9)
	assert.Assert(t, history.Returns("single") < 0.05)
}

// Guards against a link that is not tried again, or tried at every request.
func TestRatesProbe(t *testing.T) {
	start := time.Unix(1000, 0)
	rates := cache.NewRates[string]()
	assert.Assert(t, rates.ClaimProbe(start, "link"), "an unknown link is due")
	assert.Assert(t, !rates.ClaimProbe(start, "link"))
	rates.Observe(start, "link", 1e6, time.Second)
	rates.Dead(start, "link")
	assert.Equal(t, rates.Value("link"), 1024.0)
	assert.Assert(t, !rates.ClaimProbe(start.Add(time.Second), "link"))
	assert.Assert(t, rates.ClaimProbe(start.Add(5*time.Second), "link"))
	rates.Replace(start.Add(5*time.Second), "link", 1e6, time.Second)
	assert.Equal(t, rates.Value("link"), 1e6)
}
