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

// emptyStore holds the blocks that were exported to it.
type emptyStore struct {
	world
	held map[spoke.BlockKey]bool
}

func (s *emptyStore) Meta(ctx context.Context, at spoke.Address, key spoke.BlockKey) (spoke.BlockMeta, error) {
	if !s.held[key] {
		return spoke.BlockMeta{}, spoke.ErrBlockMissing
	}
	return s.world.Meta(ctx, at, key)
}

func (s *emptyStore) Export(_ context.Context, _ spoke.Address, blocks []spoke.BlockExport) error {
	<-time.After(5 * time.Millisecond)
	for _, block := range blocks {
		s.held[block.Key] = true
	}
	return nil
}

// Guards against the first prompt that returns over a link being recomputed because only
// imports measure the link.
func TestFirstReturnIsImportedAfterExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := cache.NewLinks(timer.NewSystem())
		blocks := &emptyStore{world: world{pullTime: 5 * time.Millisecond}, held: map[spoke.BlockKey]bool{}}
		exporter := cache.NewExporter(blocks, blocks, links, cache.AlwaysExport{})
		importer := cache.NewImporter(blocks, blocks, links)
		importer.ObservePrefill(engineAt, spoke.PieceTokens, pieceTime)

		returning := job(4)
		moved, err := exporter.Export(context.Background(), cache.ExportJob{
			Engine: engineAt, Keys: returning.Keys, Place: returning.Place,
		})
		assert.NilError(t, err)
		assert.Equal(t, moved, 4)
		assert.Equal(t, importer.Import(context.Background(), returning).Imported, 4)
	})
}
