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

	// Exporter moves computed blocks that are likely to return to store hosts; it is safe for
	// concurrent use.
	Exporter struct {
		store  spoke.BlockStore
		engine spoke.Engine
		links  *Links
		policy spoke.ExportPolicy

		mu      sync.Mutex
		history *History
	}
)

// NewExporter returns an exporter that decides by policy and shares the links.
func NewExporter(store spoke.BlockStore, engine spoke.Engine, links *Links, policy spoke.ExportPolicy) *Exporter {
	return &Exporter{store: store, engine: engine, links: links, policy: policy, history: NewHistory()}
}

// Record notes the prefixes of a request before it runs.
func (x *Exporter) Record(workspace spoke.WorkspaceID, keys []spoke.BlockKey) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history.Record(workspace, keys)
}

// Export moves the computed blocks of a run one after the other, whenever no import waits for
// the link, and returns how many were moved. It stops at the first failure.
func (x *Exporter) Export(ctx context.Context, job ExportJob) (int, error) {
	moved := 0
	for _, key := range job.Keys[min(job.Computed, len(job.Keys)):] {
		host, ok := job.Place.Host(key)
		if !ok {
			return moved, nil
		}
		if !x.isWanted(job, key, host.Address) {
			continue
		}
		_, err := x.store.Meta(ctx, host.Address, key)
		if err == nil {
			continue
		}
		if !errors.Is(err, spoke.ErrBlockMissing) {
			return moved, err
		}
		if err := x.move(ctx, job.Engine, key, host.Address); err != nil {
			return moved, err
		}
		moved++
	}
	return moved, nil
}

func (x *Exporter) isWanted(job ExportJob, key spoke.BlockKey, at spoke.Address) bool {
	x.mu.Lock()
	query := spoke.ExportQuery{
		Key:       key,
		Rank:      job.Rank,
		Uses:      x.history.Uses(key),
		ReuseRate: x.history.Returns(job.Workspace),
	}
	x.mu.Unlock()
	query.LinkUtilisation = x.links.Busy(at)
	return x.policy.ShouldExport(query)
}

func (x *Exporter) move(ctx context.Context, engine spoke.Address, key spoke.BlockKey, at spoke.Address) error {
	release, err := x.links.Acquire(ctx, at, ExportOrder, defaultBlockLength)
	if err != nil {
		return err
	}
	defer release()
	started := x.links.clock.Now()
	if err := x.engine.Export(ctx, engine, []spoke.BlockExport{{Key: key, Store: at}}); err != nil {
		return err
	}
	x.estimate(ctx, key, at, x.links.clock.Now().Sub(started))
	return nil
}

// estimate takes the rate of an export for that of a link without measurements. Otherwise the
// first prompt that returns over each link, and all beside it, would be recomputed for a probe.
func (x *Exporter) estimate(ctx context.Context, key spoke.BlockKey, at spoke.Address, took time.Duration) {
	if x.links.Rate(at) > 0 {
		return
	}
	meta, err := x.store.Meta(ctx, at, key)
	if err != nil {
		return
	}
	x.links.measure(func(now time.Time, rates *Rates[spoke.Address]) {
		rates.Observe(now, at, float64(meta.Length), took)
	})
}
