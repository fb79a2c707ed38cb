package engine_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/engine"
	"magnoliaspoke.example/spoke/fake/model"
	fake "magnoliaspoke.example/spoke/fake/store"
	"magnoliaspoke.example/spoke/store"
	"magnoliaspoke.example/spoke/timer"
)

// transferCase is two engines with one store host over loopback; the first engine has computed
// and exported the blocks of a prompt.
type transferCase struct {
	client   *engine.Client
	blocks   *store.Client
	server   *httptest.Server
	store    spoke.Address
	second   spoke.Address
	spec     spoke.RunSpec
	keys     []spoke.BlockKey
	place    *cache.Placement
	importer *cache.Importer
}

func startTransfer(t *testing.T) *transferCase {
	t.Helper()
	host := fake.New()
	server := httptest.NewServer(host)
	t.Cleanup(server.Close)
	t.Cleanup(host.Close)
	at := spoke.Address(server.Listener.Addr().String())
	client, blocks := startClient(t), store.New()
	t.Cleanup(blocks.Close)
	spec := runSpec("first", strings.Repeat("feather ", 3*int(spoke.PieceSize)/8))
	tc := &transferCase{
		client: client, blocks: blocks, server: server, store: at, second: startEngine(t), spec: spec,
		keys:  cache.ScopeOf(spec).Keys(spec.Prompt),
		place: cache.NewPlacement([]spoke.StoreHost{{ID: "s", Address: at}}, "", ""),
	}
	first := startEngine(t)
	tc.run(t, first, spec)
	links := cache.NewLinks(timer.NewSystem())
	exporter := cache.NewExporter(blocks, client, links, cache.AlwaysExport{})
	moved, err := exporter.Export(t.Context(), cache.ExportJob{Engine: first, Keys: tc.keys, Place: tc.place})
	assert.NilError(t, err)
	assert.Equal(t, moved, 3)
	// A slow predicted prefill leaves the limit far above the time of loopback transfers.
	tc.importer = cache.NewImporter(blocks, client, links, cache.WithImportPolicy(cache.AlwaysImport{}))
	tc.importer.ObservePrefill(tc.second, spoke.PieceTokens, 20*time.Second)
	return tc
}

func (tc *transferCase) run(t *testing.T, at spoke.Address, spec spoke.RunSpec) spoke.Usage {
	t.Helper()
	stream, err := tc.client.Run(t.Context(), at, spec)
	assert.NilError(t, err)
	text, last, err := readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.Equal(t, text, model.Answer(spec.Prompt, spec.Version, 0, spec.MaxTokens))
	return last.Usage
}

func (tc *transferCase) importAll(ctx context.Context) cache.ImportOutcome {
	return tc.importer.Import(ctx, cache.ImportJob{Engine: tc.second, Keys: tc.keys, Place: tc.place})
}

// Guards against blocks that an engine does not recognize after export and import, and against
// their use by another workspace.
func TestImportServesOtherEngine(t *testing.T) {
	tc := startTransfer(t)
	outcome := tc.importAll(t.Context())
	assert.Equal(t, outcome.Imported, 3)
	assert.Equal(t, len(outcome.Doubtful), 0)
	other := tc.spec
	other.Attempt, other.Workspace = "other", "rival"
	assert.Equal(t, tc.run(t, tc.second, other).Cached, spoke.TokenCount(0))
	away := tc.spec
	away.Attempt, away.CacheNonce = "away", "nonce"
	assert.Equal(t, tc.run(t, tc.second, away).Cached, spoke.TokenCount(0))
	assert.Equal(t, tc.run(t, tc.second, tc.spec).Cached, 3*spoke.PieceTokens)

	answer, err := http.Get("http://" + string(tc.second) + "/counters")
	assert.NilError(t, err)
	defer answer.Body.Close()
	var counters struct {
		Imported spoke.TokenCount `json:"tokens-imported"`
		Started  int              `json:"runs-started"`
	}
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&counters))
	assert.Equal(t, counters.Imported, 3*spoke.PieceTokens)
	assert.Equal(t, counters.Started, 3)
}

// Guards against damaged blocks in an engine's cache, and against imports that outlive a store
// host that dies or freezes.
func TestImportSurvivesStoreFailures(t *testing.T) {
	cases := map[string]func(t *testing.T, tc *transferCase){
		"corrupt": func(t *testing.T, tc *transferCase) { post(t, tc.store, "/faults", `{"corrupt":"all"}`) },
		"restart": func(t *testing.T, tc *transferCase) { post(t, tc.store, "/faults", `{"restart":true}`) },
		"freeze": func(t *testing.T, tc *transferCase) {
			tc.importer.ObservePrefill(tc.second, spoke.PieceTokens, 100*time.Millisecond)
			post(t, tc.store, "/faults", `{"freeze":true}`)
		},
		"dead": func(_ *testing.T, tc *transferCase) {
			tc.server.CloseClientConnections()
			tc.server.Listener.Close()
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			tc := startTransfer(t)
			fail(t, tc)
			outcome := tc.importAll(t.Context())
			assert.Equal(t, outcome.Imported, 0)
			assert.Equal(t, len(outcome.Doubtful), 0)
			assert.Equal(t, tc.run(t, tc.second, tc.spec).Cached, spoke.TokenCount(0))
		})
	}
}

// Guards against an import that the engine finishes from a store host that dies in
// mid-transfer, and against a client that does not learn of it.
func TestImportReportsStoreDeathInTransfer(t *testing.T) {
	tc := startTransfer(t)
	meta, err := tc.blocks.Meta(t.Context(), tc.store, tc.keys[0])
	assert.NilError(t, err)
	post(t, tc.store, "/faults", `{"freeze":true}`)
	results := make(chan spoke.ImportResult, 1)
	go func() {
		result, _ := tc.client.Import(context.Background(), tc.second, []spoke.BlockImport{{
			Key: meta.Key, Generation: meta.Generation, Checksum: meta.Checksum, Length: meta.Length, Store: tc.store,
		}})
		results <- result
	}()
	post(t, tc.store, "/faults", `{"restart":true}`)
	post(t, tc.store, "/faults", `{"freeze":false}`)
	result := <-results
	assert.Equal(t, len(result.Imported), 0)
	assert.DeepEqual(t, result.Rejected, []spoke.BlockKey{meta.Key})
	assert.Equal(t, tc.run(t, tc.second, tc.spec).Cached, spoke.TokenCount(0))
}
