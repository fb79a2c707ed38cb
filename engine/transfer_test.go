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

// transferFixture is two engines and one store host on loopback. The first engine has computed
// and exported the blocks of a prompt; target is the second engine.
type transferFixture struct {
	client      *engine.Client
	storeClient *store.Client
	storeServer *httptest.Server
	storeAddr   spoke.Address
	target      spoke.Address
	spec        spoke.RunSpec
	keys        []spoke.BlockKey
	placement   *cache.Placement
	importer    *cache.Importer
}

func startTransfer(t *testing.T) *transferFixture {
	t.Helper()
	storeHost := fake.New()
	server := httptest.NewServer(storeHost)
	t.Cleanup(server.Close)
	t.Cleanup(storeHost.Close)
	addr := spoke.Address(server.Listener.Addr().String())
	client, storeClient := startClient(t), store.New()
	t.Cleanup(storeClient.Close)
	spec := runSpec("first", strings.Repeat("feather ", 3*int(spoke.PieceSize)/8))
	tc := &transferFixture{
		client: client, storeClient: storeClient, storeServer: server, storeAddr: addr, target: startEngine(t), spec: spec,
		keys:      cache.ScopeOf(spec).Keys(spec.Prompt),
		placement: cache.NewPlacement([]spoke.StoreHost{{ID: "s", Address: addr}}, "", ""),
	}
	source := startEngine(t)
	tc.run(t, source, spec)
	links := cache.NewLinks(timer.NewSystem())
	exporter := cache.NewExporter(storeClient, client, links, cache.AlwaysExport{})
	exported, err := exporter.Export(t.Context(), cache.ExportJob{Engine: source, Keys: tc.keys, Place: tc.placement})
	assert.NilError(t, err)
	assert.Equal(t, exported, 3)
	// A slow predicted prefill sets the time limit of imports far above the duration of loopback
	// transfers.
	tc.importer = cache.NewImporter(storeClient, client, links, cache.WithImportPolicy(cache.AlwaysImport{}))
	tc.importer.ObservePrefill(tc.target, spoke.PieceTokens, 20*time.Second)
	return tc
}

func (tc *transferFixture) run(t *testing.T, addr spoke.Address, spec spoke.RunSpec) spoke.Usage {
	t.Helper()
	stream, err := tc.client.Run(t.Context(), addr, spec)
	assert.NilError(t, err)
	text, last, err := readAll(t.Context(), stream)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.Equal(t, text, model.Answer(spec.Prompt, spec.Version, 0, spec.MaxTokens))
	return last.Usage
}

func (tc *transferFixture) importAll(ctx context.Context) cache.ImportOutcome {
	return tc.importer.Import(ctx, cache.ImportJob{Engine: tc.target, Keys: tc.keys, Place: tc.placement})
}

// Guards against blocks that an engine does not reuse after export and import, and against their
// use by another workspace or by a run with a cache nonce.
func TestImportedBlocksServeSameScopeOnly(t *testing.T) {
	tc := startTransfer(t)
	outcome := tc.importAll(t.Context())
	assert.Equal(t, outcome.Imported, 3)
	assert.Equal(t, len(outcome.Doubtful), 0)
	otherWorkspace := tc.spec
	otherWorkspace.Attempt, otherWorkspace.Workspace = "other", "rival"
	assert.Equal(t, tc.run(t, tc.target, otherWorkspace).Cached, spoke.TokenCount(0))
	otherNonce := tc.spec
	otherNonce.Attempt, otherNonce.CacheNonce = "away", "nonce"
	assert.Equal(t, tc.run(t, tc.target, otherNonce).Cached, spoke.TokenCount(0))
	assert.Equal(t, tc.run(t, tc.target, tc.spec).Cached, 3*spoke.PieceTokens)

	response, err := http.Get("http://" + string(tc.target) + "/counters")
	assert.NilError(t, err)
	defer response.Body.Close()
	var counters struct {
		Imported spoke.TokenCount `json:"tokens-imported"`
		Started  int              `json:"runs-started"`
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counters))
	assert.Equal(t, counters.Imported, 3*spoke.PieceTokens)
	assert.Equal(t, counters.Started, 3)
}

// Guards against corrupt blocks in an engine's cache, and against imports that do not end after
// a store host stops or freezes.
func TestFailedImportLeavesCacheEmpty(t *testing.T) {
	cases := map[string]func(t *testing.T, tc *transferFixture){
		"corrupt": func(t *testing.T, tc *transferFixture) { post(t, tc.storeAddr, "/faults", `{"corrupt":"all"}`) },
		"restart": func(t *testing.T, tc *transferFixture) { post(t, tc.storeAddr, "/faults", `{"restart":true}`) },
		"freeze": func(t *testing.T, tc *transferFixture) {
			tc.importer.ObservePrefill(tc.target, spoke.PieceTokens, 100*time.Millisecond)
			post(t, tc.storeAddr, "/faults", `{"freeze":true}`)
		},
		"dead": func(_ *testing.T, tc *transferFixture) {
			tc.storeServer.CloseClientConnections()
			tc.storeServer.Listener.Close()
		},
	}
	for name, injectFailure := range cases {
		t.Run(name, func(t *testing.T) {
			tc := startTransfer(t)
			injectFailure(t, tc)
			outcome := tc.importAll(t.Context())
			assert.Equal(t, outcome.Imported, 0)
			assert.Equal(t, len(outcome.Doubtful), 0)
			assert.Equal(t, tc.run(t, tc.target, tc.spec).Cached, spoke.TokenCount(0))
		})
	}
}

// Guards against an engine that accepts a block from a store host that restarts during the
// transfer, and against a client that does not report the block as rejected.
func TestImportRejectsBlocksOfRestartedStore(t *testing.T) {
	tc := startTransfer(t)
	meta, err := tc.storeClient.Meta(t.Context(), tc.storeAddr, tc.keys[0])
	assert.NilError(t, err)
	post(t, tc.storeAddr, "/faults", `{"freeze":true}`)
	results := make(chan spoke.ImportResult, 1)
	go func() {
		result, _ := tc.client.Import(context.Background(), tc.target, []spoke.BlockImport{{
			Key: meta.Key, Generation: meta.Generation, Checksum: meta.Checksum, Length: meta.Length, Store: tc.storeAddr,
		}})
		results <- result
	}()
	post(t, tc.storeAddr, "/faults", `{"restart":true}`)
	post(t, tc.storeAddr, "/faults", `{"freeze":false}`)
	result := <-results
	assert.Equal(t, len(result.Imported), 0)
	assert.DeepEqual(t, result.Rejected, []spoke.BlockKey{meta.Key})
	assert.Equal(t, tc.run(t, tc.target, tc.spec).Cached, spoke.TokenCount(0))
}
