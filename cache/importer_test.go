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
	pieceTime   = 200 * time.Millisecond
	blockLength = 64 << 10
	engineAt    = spoke.Address("engine")
)

// world is a store host and an engine in memory on virtual time.
type world struct {
	spoke.Engine

	mu       sync.Mutex
	dead     bool
	pullTime time.Duration
	corrupt  bool
	changing bool
	asked    int
	pulls    int
}

func (w *world) Meta(ctx context.Context, _ spoke.Address, key spoke.BlockKey) (spoke.BlockMeta, error) {
	w.mu.Lock()
	dead := w.dead
	w.asked++
	meta := spoke.BlockMeta{Key: key, Generation: 1, Checksum: "sum", Length: blockLength}
	if w.changing && w.pulls > 0 {
		meta.Generation = 2
	}
	w.mu.Unlock()
	if dead {
		<-ctx.Done()
		return spoke.BlockMeta{}, ctx.Err()
	}
	return meta, nil
}

func (w *world) Pin(context.Context, spoke.Address, spoke.BlockKey, spoke.Generation, time.Duration) error {
	return nil
}

func (w *world) Import(ctx context.Context, _ spoke.Address, blocks []spoke.BlockImport) (spoke.ImportResult, error) {
	w.mu.Lock()
	w.pulls++
	took, corrupt := w.pullTime, w.corrupt
	w.mu.Unlock()
	// The engine answers before the limit, with what it has taken.
	deadline, _ := ctx.Deadline()
	limit := time.Until(deadline) * 8 / 10
	<-time.After(min(took, limit))
	if corrupt || took > limit {
		return spoke.ImportResult{Rejected: []spoke.BlockKey{blocks[0].Key}}, nil
	}
	return spoke.ImportResult{Imported: []spoke.BlockKey{blocks[0].Key}}, nil
}

func (w *world) set(change func(*world)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

func startImporter(w *world, opts ...cache.ImporterOption) *cache.Importer {
	importer := cache.NewImporter(w, w, cache.NewLinks(timer.NewSystem()), opts...)
	importer.ObservePrefill(engineAt, spoke.PieceTokens, pieceTime)
	return importer
}

func job(blocks int) cache.ImportJob {
	hosts := []spoke.StoreHost{{ID: "s", Service: "quotes", DataCentre: "sialkot", Address: "store"}}
	keys := make([]spoke.BlockKey, blocks)
	for i := range keys {
		keys[i] = spoke.BlockKey{byte(i + 1)}
	}
	return cache.ImportJob{Engine: engineAt, Keys: keys, Place: cache.NewPlacement(hosts, "quotes", "sialkot")}
}

// serve runs requests one after the other and returns their prefill time with imports, against
// recomputing.
func serve(importer *cache.Importer, requests, blocks int) (took, recompute time.Duration, imported int) {
	for range requests {
		outcome := importer.Import(context.Background(), job(blocks))
		rest := time.Duration(blocks-outcome.Imported) * pieceTime
		<-time.After(rest)
		took += outcome.Took + rest
		recompute += time.Duration(blocks) * pieceTime
		imported += outcome.Imported
	}
	return took, recompute, imported
}

// Guards against a fast link that stays unused after it was measured once.
func TestImporterUsesFastLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		importer := startImporter(&world{pullTime: 5 * time.Millisecond})
		took, recompute, imported := serve(importer, 10, 4)
		assert.Assert(t, imported >= 9*4, "imported %d of 40", imported)
		assert.Assert(t, took < recompute/4, "took %s of %s", took, recompute)
	})
}

// Guards against links that make requests over a tenth slower than recomputing: dead from the
// start, dying between requests, slow, and slower than the prediction.
func TestImporterLimitsLosses(t *testing.T) {
	cases := map[string]struct{ before, after func(*world) }{
		"dead":     {func(w *world) { w.dead = true }, func(*world) {}},
		"dies":     {func(w *world) { w.pullTime = time.Millisecond }, func(w *world) { w.dead = true }},
		"slow":     {func(w *world) { w.pullTime = time.Second }, func(*world) {}},
		"slows":    {func(w *world) { w.pullTime = time.Millisecond }, func(w *world) { w.pullTime = time.Second }},
		"freezes":  {func(w *world) { w.pullTime = time.Millisecond }, func(w *world) { w.pullTime = time.Hour }},
		"corrupts": {func(w *world) { w.pullTime = time.Millisecond }, func(w *world) { w.corrupt = true }},
	}
	for name, tc := range cases {
		for _, blocks := range []int{1, 3, 12} {
			synctest.Test(t, func(t *testing.T) {
				w := &world{}
				tc.before(w)
				importer := startImporter(w)
				first, firstRecompute, _ := serve(importer, 3, blocks)
				w.set(tc.after)
				second, secondRecompute, _ := serve(importer, 30, blocks)
				assert.Assert(t, first+second <= (firstRecompute+secondRecompute)*11/10,
					"%s, %d blocks: %s against %s", name, blocks, first+second, firstRecompute+secondRecompute)
				// What fast imports have saved may be spent, up to two seconds.
				assert.Assert(t, second <= secondRecompute*11/10+2*time.Second,
					"%s, %d blocks: %s against %s", name, blocks, second, secondRecompute)
			})
		}
	}
}

// Guards against a run that waits for a dead store host for as long as earlier imports saved.
func TestDeadStoreCostsATenth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{pullTime: time.Millisecond}
		importer := startImporter(w)
		serve(importer, 5, 4)
		w.set(func(w *world) { w.dead = true })
		outcome := importer.Import(t.Context(), job(4))
		assert.Equal(t, outcome.Imported, 0)
		assert.Assert(t, outcome.Took <= 4*pieceTime/10, "%s", outcome.Took)
	})
}

// Guards against a link that recovered and is not used again within 10 s.
func TestImporterUsesRecoveredLink(t *testing.T) {
	for name, fail := range map[string]func(*world){
		"dead": func(w *world) { w.dead = true },
		"slow": func(w *world) { w.pullTime = time.Minute },
	} {
		synctest.Test(t, func(t *testing.T) {
			w := &world{pullTime: 5 * time.Millisecond}
			importer := startImporter(w)
			serve(importer, 5, 2)
			w.set(fail)
			_, _, imported := serve(importer, 100, 2)
			assert.Equal(t, imported, 0, name)
			w.set(func(w *world) { w.dead, w.pullTime = false, 5*time.Millisecond })
			recovered := time.Now()
			for range 30 {
				if _, _, imported = serve(importer, 1, 2); imported > 0 {
					break
				}
			}
			_, _, imported = serve(importer, 10, 2)
			assert.Assert(t, imported == 20, "%s: imported %d of 20", name, imported)
			assert.Assert(t, time.Since(recovered) < 10*time.Second, "%s: %s", name, time.Since(recovered))
		})
	}
}

// Guards against the use of a block whose generation changed during the import.
func TestImporterReportsDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{pullTime: time.Millisecond, changing: true}
		outcome := startImporter(w).Import(t.Context(), job(1))
		assert.Equal(t, outcome.Imported, 0)
		assert.DeepEqual(t, outcome.Doubtful, job(1).Keys)
	})
}

// Guards against a run that starts while another one's import of the same block is not yet
// verified, and against two imports of one block.
func TestImporterJoinsImportInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{pullTime: 10 * time.Millisecond, changing: true}
		importer := startImporter(w)
		var outcomes [2]cache.ImportOutcome
		var runs sync.WaitGroup
		for i := range outcomes {
			runs.Go(func() { outcomes[i] = importer.Import(context.Background(), job(1)) })
		}
		runs.Wait()
		for _, outcome := range outcomes {
			assert.DeepEqual(t, outcome.Doubtful, job(1).Keys)
		}
		assert.Equal(t, w.pulls, 1)
	})
}

// Guards against a run that finds the import of another one announced between its own look and its
// own announcement, and goes on without waiting for blocks that may be in doubt.
func TestImporterJoinsImportAnnouncedMeanwhile(t *testing.T) {
	const rounds, runsAtOnce = 300, 4
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			w := &world{pullTime: 10 * time.Millisecond, changing: true}
			importer := startImporter(w)
			var outcomes [runsAtOnce]cache.ImportOutcome
			var runs sync.WaitGroup
			start := make(chan struct{})
			for i := range outcomes {
				runs.Go(func() {
					<-start
					outcomes[i] = importer.Import(context.Background(), job(1))
				})
			}
			close(start)
			runs.Wait()
			for _, outcome := range outcomes {
				assert.DeepEqual(t, outcome.Doubtful, job(1).Keys)
			}
		})
	}
}

// Guards against baselines that do not do what their name says.
func TestImporterBaselines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{pullTime: time.Second}
		always := startImporter(w, cache.WithImportPolicy(cache.AlwaysImport{}), cache.WithoutImportLimit())
		took, _, imported := serve(always, 2, 2)
		assert.Equal(t, imported, 4)
		assert.Equal(t, took.Round(time.Millisecond), 4*time.Second)
		never := startImporter(w, cache.WithImportPolicy(cache.NeverImport{}))
		w.asked = 0
		_, _, imported = serve(never, 2, 2)
		assert.Equal(t, imported, 0)
		assert.Equal(t, w.asked, 0)
	})
}
