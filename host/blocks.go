package host

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/store"
)

const (
	// exportQueueSize bounds the finished runs that wait for their export; the blocks of a run
	// beyond it are not exported.
	exportQueueSize = 64
	// exportTimeout bounds the export of one run, so that a dead store host does not delay others.
	exportTimeout = 20 * time.Second
)

type (
	// blockTask imports blocks into engines before runs and exports them after runs.
	blockTask struct {
		manifest spoke.ManifestSource
		timer    spoke.Timer
		events   spoke.EventSink
		engine   spoke.Engine
		importer *cache.Importer
		exporter *cache.Exporter
		stores   *store.Client
		links    *cache.Links
		exports  chan exportRequest

		indexes    sync.Map
		placements atomic.Pointer[placements]
	}

	exportRequest struct {
		upstream  spoke.Upstream
		job       cache.ExportJob
		requestID spoke.RequestID
	}

	placementKey struct {
		service    spoke.ServiceName
		dataCentre spoke.DataCentreID
	}

	// placements caches the placement on the store hosts of one manifest, by service and data
	// centre.
	placements struct {
		manifest *spoke.Manifest
		byKey    map[placementKey]*cache.Placement
	}
)

func newBlockTask(manifest spoke.ManifestSource, engine spoke.Engine, timer spoke.Timer, events spoke.EventSink,
	opts ...cache.ImporterOption) *blockTask {
	stores := store.New()
	links := cache.NewLinks(timer)
	return &blockTask{
		manifest: manifest, timer: timer, events: events, engine: engine,
		importer: cache.NewImporter(stores, engine, links, opts...),
		exporter: cache.NewExporter(stores, engine, links, cache.LikelyExport{}),
		exports:  make(chan exportRequest, exportQueueSize),
		stores:   stores, links: links,
	}
}

// runIndex keeps an index of an owned engine's prefix cache until the context ends.
func (t *blockTask) runIndex(ctx context.Context, upstream spoke.Upstream) {
	index := newIndexTask(upstream, t.engine, t.timer)
	t.indexes.Store(upstream.ID, index)
	index.run(ctx)
	t.indexes.CompareAndDelete(upstream.ID, index)
}

// Load imports the missing blocks of a prompt if the import policy decides so, and returns the
// run to start. If blocks of the prompt are in doubt, the run gets a cache nonce, so that it
// uses none of them.
func (t *blockTask) Load(ctx context.Context, upstream spoke.Upstream, dispatch spoke.Dispatch) spoke.RunSpec {
	spec := dispatch.Spec
	if len(dispatch.Keys) == 0 {
		return spec
	}
	t.exporter.Record(spec.Workspace, dispatch.Keys)
	indexed := t.queryIndex(ctx, upstream.ID, dispatch.Keys)
	if indexed.isDoubtful {
		spec.CacheNonce = string(spec.Attempt)
		return spec
	}
	outcome := t.importer.Import(ctx, cache.ImportJob{
		Engine: upstream.Address, Order: t.rankOrder(dispatch.Rank), Keys: dispatch.Keys,
		Resident: indexed.resident, Place: t.placement(upstream),
	})
	if outcome.Imported > 0 || outcome.Took > 0 {
		t.events.Record(spoke.Event{
			Kind: "blocks-imported", Request: spec.Request, Attempt: spec.Attempt, Upstream: upstream.ID,
			Duration: outcome.Took, Detail: countDetail(outcome.Imported, len(dispatch.Keys)-indexed.resident),
		})
	}
	if len(outcome.Doubtful) > 0 {
		t.markDoubtful(ctx, upstream.ID, outcome.Doubtful)
		spec.CacheNonce = string(spec.Attempt)
	}
	return spec
}

// RunFinished records the prefill time of a finished run and queues its blocks for export;
// firstToken is the time from the start at the engine to the first token.
func (t *blockTask) RunFinished(upstream spoke.Upstream, dispatch spoke.Dispatch, usage spoke.Usage, firstToken time.Duration) {
	t.importer.ObservePrefill(upstream.Address, usage.Prompt-usage.Cached, firstToken)
	placement := t.placement(upstream)
	if len(dispatch.Keys) == 0 || placement == nil {
		return
	}
	request := exportRequest{
		upstream: upstream, requestID: dispatch.Spec.Request,
		job: cache.ExportJob{
			Engine: upstream.Address, Workspace: dispatch.Spec.Workspace, Rank: dispatch.Rank,
			Keys: dispatch.Keys, Computed: int(usage.Cached / spoke.PieceTokens), Place: placement,
		},
	}
	select {
	case t.exports <- request:
	default:
		t.events.Record(spoke.Event{Kind: "export-skipped", Request: dispatch.Spec.Request, Upstream: upstream.ID, Detail: "export queue is full"})
	}
}

func (t *blockTask) run(ctx context.Context) error {
	for {
		select {
		case request := <-t.exports:
			t.export(ctx, request)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *blockTask) export(ctx context.Context, request exportRequest) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	started := t.timer.Now()
	exported, err := t.exporter.Export(ctx, request.job)
	event := spoke.Event{
		Kind: "blocks-exported", Request: request.requestID, Upstream: request.upstream.ID,
		Duration: t.timer.Now().Sub(started), Detail: countDetail(exported, len(request.job.Keys)-request.job.Computed),
	}
	if err != nil {
		event.Kind = "export-failed"
		event.Detail = err.Error()
	}
	if exported > 0 || err != nil {
		t.events.Record(event)
	}
}

func (t *blockTask) queryIndex(ctx context.Context, id spoke.UpstreamID, keys []spoke.BlockKey) indexReply {
	if index, ok := t.indexes.Load(id); ok {
		return index.(*indexTask).query(ctx, keys)
	}
	return indexReply{}
}

func (t *blockTask) markDoubtful(ctx context.Context, id spoke.UpstreamID, keys []spoke.BlockKey) {
	if index, ok := t.indexes.Load(id); ok {
		index.(*indexTask).markDoubtful(ctx, keys)
	}
}

func (t *blockTask) rankOrder(name spoke.RankName) int {
	rank, _ := t.manifest.Current().Rank(name)
	return rank.Order
}

// placement returns the placement on the store hosts of an upstream, nil if there are none.
func (t *blockTask) placement(upstream spoke.Upstream) *cache.Placement {
	manifest := t.manifest.Current()
	cached := t.placements.Load()
	if cached == nil || cached.manifest != manifest {
		cached = newPlacements(manifest)
		t.placements.Store(cached)
	}
	return cached.byKey[placementKey{upstream.Service, upstream.DataCentre}]
}

func countDetail(done, wanted int) string {
	return strconv.Itoa(done) + " of " + strconv.Itoa(wanted) + " blocks"
}

func newPlacements(manifest *spoke.Manifest) *placements {
	result := &placements{manifest: manifest, byKey: make(map[placementKey]*cache.Placement)}
	hosts := manifest.StoreHosts()
	for _, host := range hosts {
		key := placementKey{host.Service, host.DataCentre}
		if result.byKey[key] == nil {
			result.byKey[key] = cache.NewPlacement(hosts, host.Service, host.DataCentre)
		}
	}
	return result
}
