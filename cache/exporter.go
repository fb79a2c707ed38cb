package cache

import (
	"context"
	"errors"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// ExportJob is the prompt of a run that has computed blocks.
	ExportJob struct {
		Engine    spoke.Address
		Workspace spoke.WorkspaceID
		Rank      spoke.RankName
		// Keys are the block keys of the prompt, the shortest prefix first.
		Keys []spoke.BlockKey
		// Computed is the index of the first block that the run computed itself.
		Computed int
		Place    *Placement
	}

	// Exporter copies computed blocks to store hosts if their prefixes are likely to be requested
	// again; it is safe for concurrent use.
	Exporter struct {
		store  spoke.BlockStore
		engine spoke.Engine
		links  *Links
		policy spoke.ExportPolicy

		mu      sync.Mutex
		history *History
	}
)

// NewExporter returns an exporter that selects blocks by policy and acquires links from links.
func NewExporter(store spoke.BlockStore, engine spoke.Engine, links *Links, policy spoke.ExportPolicy) *Exporter {
	return &Exporter{store: store, engine: engine, links: links, policy: policy, history: NewHistory()}
}

// Record adds the prefixes of a request to the history, before the request runs.
func (x *Exporter) Record(workspace spoke.WorkspaceID, keys []spoke.BlockKey) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history.Record(workspace, keys)
}

// Export copies the computed blocks of a run one after the other, whenever no import waits for the
// link, and returns the number of blocks copied. It stops at the first failure.
func (x *Exporter) Export(ctx context.Context, job ExportJob) (int, error) {
	exported := 0
	for _, key := range job.Keys[min(job.Computed, len(job.Keys)):] {
		host, ok := job.Place.Host(key)
		if !ok {
			return exported, nil
		}
		if !x.shouldExport(job, key, host.Address) {
			continue
		}
		_, err := x.store.Meta(ctx, host.Address, key)
		if err == nil {
			continue
		}
		if !errors.Is(err, spoke.ErrBlockMissing) {
			return exported, err
		}
		if err := x.exportBlock(ctx, job.Engine, key, host.Address); err != nil {
			return exported, err
		}
		exported++
	}
	return exported, nil
}

func (x *Exporter) shouldExport(job ExportJob, key spoke.BlockKey, at spoke.Address) bool {
	x.mu.Lock()
	query := spoke.ExportQuery{
		Key:        key,
		Rank:       job.Rank,
		Uses:       x.history.Uses(key),
		ReuseShare: x.history.ReuseShare(job.Workspace),
	}
	x.mu.Unlock()
	query.LinkUtilisation = x.links.Utilisation(at)
	return x.policy.ShouldExport(query)
}

func (x *Exporter) exportBlock(ctx context.Context, engine spoke.Address, key spoke.BlockKey, at spoke.Address) error {
	release, err := x.links.Acquire(ctx, at, ExportOrder, defaultBlockLength)
	if err != nil {
		return err
	}
	defer release()
	started := x.links.clock.Now()
	if err := x.engine.Export(ctx, engine, []spoke.BlockExport{{Key: key, Store: at}}); err != nil {
		return err
	}
	x.seedLinkRate(ctx, key, at, x.links.clock.Now().Sub(started))
	return nil
}

// seedLinkRate takes the rate of an export as the rate of a link without measurements. Otherwise
// the first prompt that reuses blocks over each link, and all concurrent ones, would be
// recomputed, because only a probe would measure the link.
func (x *Exporter) seedLinkRate(ctx context.Context, key spoke.BlockKey, at spoke.Address, took time.Duration) {
	if x.links.Rate(at) > 0 {
		return
	}
	meta, err := x.store.Meta(ctx, at, key)
	if err != nil {
		return
	}
	x.links.updateRates(func(now time.Time, rates *Rates[spoke.Address]) {
		rates.Observe(now, at, float64(meta.Length), took)
	})
}
