package store_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/store"
	"magnoliaspoke.example/spoke/store"
)

const (
	content         = "feather"
	contentChecksum = "b52115ea553c55b7f70ceb81a97870163e02cb159d7d4717abb82d4e606e2465"
)

func startHost(t *testing.T, opts ...fake.Option) spoke.Address {
	t.Helper()
	host := fake.New(opts...)
	server := httptest.NewServer(host)
	t.Cleanup(server.Close)
	t.Cleanup(host.Close)
	return spoke.Address(server.Listener.Addr().String())
}

func put(t *testing.T, at spoke.Address, key spoke.BlockKey, body string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/blocks/%s", at, key), strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("X-Checksum", contentChecksum)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// TestClientMapsResponsesToErrors guards against responses of a store host that map to the wrong error.
func TestClientMapsResponsesToErrors(t *testing.T) {
	at, client := startHost(t, fake.WithTiers(10, 0)), store.New()
	defer client.Close()
	key := spoke.BlockKey{1}
	_, err := client.Meta(t.Context(), at, key)
	assert.ErrorIs(t, err, spoke.ErrBlockMissing)
	assert.ErrorIs(t, client.Pin(t.Context(), at, key, 1, time.Second), spoke.ErrBlockMissing)

	assert.Equal(t, put(t, at, key, "another"), http.StatusBadRequest, "wrong checksum")
	assert.Equal(t, put(t, at, key, content), http.StatusOK)
	meta, err := client.Meta(t.Context(), at, key)
	assert.NilError(t, err)
	assert.Equal(t, meta, spoke.BlockMeta{Key: key, Generation: 1, Checksum: contentChecksum, Length: 7})
	assert.NilError(t, client.Pin(t.Context(), at, key, 1, time.Minute))
	assert.ErrorIs(t, client.Pin(t.Context(), at, key, 2, time.Second), spoke.ErrBlockChanged)

	assert.Equal(t, put(t, at, spoke.BlockKey{2}, content), http.StatusInsufficientStorage)
	usage, err := client.Usage(t.Context(), at)
	assert.NilError(t, err)
	assert.Equal(t, usage, spoke.StoreUsage{MemoryUsed: 7, MemorySize: 10, Blocks: 1})
	assert.NilError(t, client.Delete(t.Context(), at, key))
	assert.ErrorIs(t, client.Delete(t.Context(), at, key), spoke.ErrBlockMissing)
}

// TestClientStopsAtDeadline guards against a call to an unresponsive host that outlives its context.
func TestClientStopsAtDeadline(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	client := store.New()
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Meta(ctx, spoke.Address(server.Listener.Addr().String()), spoke.BlockKey{1})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
