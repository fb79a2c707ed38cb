package cache_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/timer"
)

const (
	blockTime   = 200 * time.Millisecond
	blockLength = 64 << 10
	engineAt    = spoke.Address("engine")
)

// fakeBackend is an in-memory store host and engine on virtual time.
type fakeBackend struct {
	spoke.Engine

	mu sync.Mutex
	// dead makes Meta block until its context ends.
	dead     bool
	pullTime time.Duration
	// corrupt makes the engine reject all blocks.
	corrupt bool
	// changing changes the generation of all blocks after the first pull.
	changing bool
	lookups  int
	pulls    int
}

func (b *fakeBackend) Meta(ctx context.Context, _ spoke.Address, key spoke.BlockKey) (spoke.BlockMeta, error) {
	b.mu.Lock()
	dead := b.dead
	b.lookups++
	meta := spoke.BlockMeta{Key: key, Generation: 1, Checksum: "sum", Length: blockLength}
	if b.changing && b.pulls > 0 {
		meta.Generation = 2
	}
	b.mu.Unlock()
	if dead {
		<-ctx.Done()
		return spoke.BlockMeta{}, ctx.Err()
	}
	return meta, nil
}

func (b *fakeBackend) Pin(context.Context, spoke.Address, spoke.BlockKey, spoke.Generation, time.Duration) error {
	return nil
}

func (b *fakeBackend) Import(ctx context.Context, _ spoke.Address, blocks []spoke.BlockImport) (spoke.ImportResult, error) {
	b.mu.Lock()
	b.pulls++
	took, corrupt := b.pullTime, b.corrupt
	b.mu.Unlock()
	// The engine responds before the deadline and reports the blocks that it has imported.
	deadline, _ := ctx.Deadline()
	limit := time.Until(deadline) * 8 / 10
	<-time.After(min(took, limit))
	if corrupt || took > limit {
		return spoke.ImportResult{Rejected: []spoke.BlockKey{blocks[0].Key}}, nil
	}
	return spoke.ImportResult{Imported: []spoke.BlockKey{blocks[0].Key}}, nil
}

func (b *fakeBackend) update(change func(*fakeBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

func newImporter(b *fakeBackend, opts ...cache.ImporterOption) *cache.Importer {
	importer := cache.NewImporter(b, b, cache.NewLinks(timer.NewSystem()), opts...)
	importer.ObservePrefill(engineAt, spoke.PieceTokens, blockTime)
	return importer
}

func newJob(blocks int) cache.ImportJob {
	hosts := []spoke.StoreHost{{ID: "s", Service: "quotes", DataCentre: "sialkot", Address: "store"}}
	keys := make([]spoke.BlockKey, blocks)
	for i := range keys {
		keys[i] = spoke.BlockKey{byte(i + 1)}
	}
	return cache.ImportJob{Engine: engineAt, Keys: keys, Place: cache.NewPlacement(hosts, "quotes", "sialkot")}
}

// runRequests runs requests one after the other. It returns their total prefill time with imports
// and without, and the number of imported blocks.
func runRequests(importer *cache.Importer, requests, blocks int) (took, recompute time.Duration, imported int) {
	for range requests {
		outcome := importer.Import(context.Background(), newJob(blocks))
		rest := time.Duration(blocks-outcome.Imported) * blockTime
		<-time.After(rest)
		took += outcome.Took + rest
		recompute += time.Duration(blocks) * blockTime
		imported += outcome.Imported
	}
	return took, recompute, imported
}

// TestImporterUsesFastLink guards against a fast link that is not used after its first measurement.
func TestImporterUsesFastLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		importer := newImporter(&fakeBackend{pullTime: 5 * time.Millisecond})
		took, recompute, imported := runRequests(importer, 10, 4)
		assert.Assert(t, imported >= 9*4, "imported %d of 40", imported)
		assert.Assert(t, took < recompute/4, "took %s of %s", took, recompute)
	})
}

// TestImporterLimitsLosses guards against imports that make requests over a tenth slower than
// recomputing: the store host is dead from the start or fails between requests, the link is slow or
// slower than predicted, or the blocks are corrupt.
func TestImporterLimitsLosses(t *testing.T) {
	cases := map[string]struct{ before, after func(*fakeBackend) }{
		"dead":     {func(b *fakeBackend) { b.dead = true }, func(*fakeBackend) {}},
		"dies":     {func(b *fakeBackend) { b.pullTime = time.Millisecond }, func(b *fakeBackend) { b.dead = true }},
		"slow":     {func(b *fakeBackend) { b.pullTime = time.Second }, func(*fakeBackend) {}},
		"slows":    {func(b *fakeBackend) { b.pullTime = time.Millisecond }, func(b *fakeBackend) { b.pullTime = time.Second }},
		"freezes":  {func(b *fakeBackend) { b.pullTime = time.Millisecond }, func(b *fakeBackend) { b.pullTime = time.Hour }},
		"corrupts": {func(b *fakeBackend) { b.pullTime = time.Millisecond }, func(b *fakeBackend) { b.corrupt = true }},
	}
	for name, tc := range cases {
		for _, blocks := range []int{1, 3, 12} {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBackend{}
				tc.before(b)
				importer := newImporter(b)
				first, firstRecompute, _ := runRequests(importer, 3, blocks)
				b.update(tc.after)
				second, secondRecompute, _ := runRequests(importer, 30, blocks)
				assert.Assert(t, first+second <= (firstRecompute+secondRecompute)*11/10,
					"%s, %d blocks: %s against %s", name, blocks, first+second, firstRecompute+secondRecompute)
				// The requests may also lose the balance from fast imports, at most two seconds.
				assert.Assert(t, second <= secondRecompute*11/10+2*time.Second,
					"%s, %d blocks: %s against %s", name, blocks, second, secondRecompute)
			})
		}
	}
}

// TestImporterLimitsLossOnDeadStore guards against a run that spends the balance from earlier
// imports on waiting for a dead store host.
func TestImporterLimitsLossOnDeadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{pullTime: time.Millisecond}
		importer := newImporter(b)
		runRequests(importer, 5, 4)
		b.update(func(b *fakeBackend) { b.dead = true })
		outcome := importer.Import(t.Context(), newJob(4))
		assert.Equal(t, outcome.Imported, 0)
		assert.Assert(t, outcome.Took <= 4*blockTime/10, "%s", outcome.Took)
	})
}

// TestImporterUsesRecoveredLink guards against a recovered link that is not used again within 10 s.
func TestImporterUsesRecoveredLink(t *testing.T) {
	for name, fail := range map[string]func(*fakeBackend){
		"dead": func(b *fakeBackend) { b.dead = true },
		"slow": func(b *fakeBackend) { b.pullTime = time.Minute },
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{pullTime: 5 * time.Millisecond}
			importer := newImporter(b)
			runRequests(importer, 5, 2)
			b.update(fail)
			_, _, imported := runRequests(importer, 100, 2)
			assert.Equal(t, imported, 0, name)
			b.update(func(b *fakeBackend) { b.dead, b.pullTime = false, 5*time.Millisecond })
			recovered := time.Now()
			for range 30 {
				if _, _, imported = runRequests(importer, 1, 2); imported > 0 {
					break
				}
			}
			_, _, imported = runRequests(importer, 10, 2)
			assert.Assert(t, imported == 20, "%s: imported %d of 20", name, imported)
			assert.Assert(t, time.Since(recovered) < 10*time.Second, "%s: %s", name, time.Since(recovered))
		})
	}
}

// TestImporterReportsDoubtfulBlocks guards against the use of a block whose generation changed
// during the import.
func TestImporterReportsDoubtfulBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{pullTime: time.Millisecond, changing: true}
		outcome := newImporter(b).Import(t.Context(), newJob(1))
		assert.Equal(t, outcome.Imported, 0)
		assert.DeepEqual(t, outcome.Doubtful, newJob(1).Keys)
	})
}

// TestImporterJoinsImportInProgress guards against a run that starts before another run's import of
// the same block is verified, and against two concurrent imports of one block.
func TestImporterJoinsImportInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{pullTime: 10 * time.Millisecond, changing: true}
		importer := newImporter(b)
		var outcomes [2]cache.ImportOutcome
		var runs sync.WaitGroup
		for i := range outcomes {
			runs.Go(func() { outcomes[i] = importer.Import(context.Background(), newJob(1)) })
		}
		runs.Wait()
		for _, outcome := range outcomes {
			assert.DeepEqual(t, outcome.Doubtful, newJob(1).Keys)
		}
		assert.Equal(t, b.pulls, 1)
	})
}

// TestImporterJoinsImportRegisteredMeanwhile guards against a run that starts without waiting for
// doubtful blocks, because another run registered their import between this run's check for pending
// imports and its own registration.
func TestImporterJoinsImportRegisteredMeanwhile(t *testing.T) {
	const rounds, concurrentRuns = 300, 4
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			b := &fakeBackend{pullTime: 10 * time.Millisecond, changing: true}
			importer := newImporter(b)
			var outcomes [concurrentRuns]cache.ImportOutcome
			var runs sync.WaitGroup
			start := make(chan struct{})
			for i := range outcomes {
				runs.Go(func() {
					<-start
					outcomes[i] = importer.Import(context.Background(), newJob(1))
				})
			}
			close(start)
			runs.Wait()
			for _, outcome := range outcomes {
				assert.DeepEqual(t, outcome.Doubtful, newJob(1).Keys)
			}
		})
	}
}

// TestImporterBaselinePolicies guards against an AlwaysImport baseline that recomputes and a
// NeverImport baseline that imports or contacts the store.
func TestImporterBaselinePolicies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{pullTime: time.Second}
		always := newImporter(b, cache.WithImportPolicy(cache.AlwaysImport{}), cache.WithoutImportLimit())
		took, _, imported := runRequests(always, 2, 2)
		assert.Equal(t, imported, 4)
		assert.Equal(t, took.Round(time.Millisecond), 4*time.Second)
		never := newImporter(b, cache.WithImportPolicy(cache.NeverImport{}))
		b.lookups = 0
		_, _, imported = runRequests(never, 2, 2)
		assert.Equal(t, imported, 0)
		assert.Equal(t, b.lookups, 0)
	})
}
