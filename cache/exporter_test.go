package cache_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/timer"
)

// exportStore is a store host that initially holds no blocks and keeps those exported to it.
type exportStore struct {
	fakeBackend
	held map[spoke.BlockKey]bool
}

func (s *exportStore) Meta(ctx context.Context, at spoke.Address, key spoke.BlockKey) (spoke.BlockMeta, error) {
	if !s.held[key] {
		return spoke.BlockMeta{}, spoke.ErrBlockMissing
	}
	return s.fakeBackend.Meta(ctx, at, key)
}

func (s *exportStore) Export(_ context.Context, _ spoke.Address, blocks []spoke.BlockExport) error {
	<-time.After(5 * time.Millisecond)
	for _, block := range blocks {
		s.held[block.Key] = true
	}
	return nil
}

// TestFirstReuseIsImportedAfterExport guards against links that only imports measure: the first
// prompt that reuses exported blocks would be recomputed.
func TestFirstReuseIsImportedAfterExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := cache.NewLinks(timer.NewSystem())
		blocks := &exportStore{fakeBackend: fakeBackend{pullTime: 5 * time.Millisecond}, held: map[spoke.BlockKey]bool{}}
		exporter := cache.NewExporter(blocks, blocks, links, cache.AlwaysExport{})
		importer := cache.NewImporter(blocks, blocks, links)
		importer.ObservePrefill(engineAt, spoke.PieceTokens, blockTime)

		reused := newJob(4)
		exported, err := exporter.Export(context.Background(), cache.ExportJob{
			Engine: engineAt, Keys: reused.Keys, Place: reused.Place,
		})
		assert.NilError(t, err)
		assert.Equal(t, exported, 4)
		assert.Equal(t, importer.Import(context.Background(), reused).Imported, 4)
	})
}
