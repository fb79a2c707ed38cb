package ticket

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

// maxParallelReads bounds the concurrent reads of one load, since all clients of the key-value
// service share about 2,000 reads/s.
const maxParallelReads = 8

type (
	// Loader reads the manifest from the key-value service and caches its objects, so that it reads
	// only new values.
	Loader struct {
		store spoke.KeyValue

		mu    sync.Mutex
		cache map[string]spoke.Object
	}

	// storedManifest is the manifest with its encoded head and the revision of its key.
	storedManifest struct {
		head     head
		revision spoke.Revision
		manifest *spoke.Manifest
	}
)

// NewLoader returns a Loader that reads from store.
func NewLoader(store spoke.KeyValue) *Loader {
	return &Loader{store: store, cache: make(map[string]spoke.Object)}
}

// Load returns the manifest in the key-value service and the revision of its key. Before the
// first ticket the manifest is empty and has number zero.
func (l *Loader) Load(ctx context.Context) (*spoke.Manifest, spoke.Revision, error) {
	found, err := l.load(ctx)
	return found.manifest, found.revision, err
}

// Seed adds the objects of a manifest to the cache, so that the next load need not read them.
func (l *Loader) Seed(m *spoke.Manifest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range m.Entries {
		raw, err := encodeObject(entry.Object)
		if err != nil {
			return err
		}
		l.cache[digest(raw)] = entry.Object
	}
	return nil
}

func (l *Loader) load(ctx context.Context) (storedManifest, error) {
	found, err := l.readHead(ctx)
	if err != nil {
		return storedManifest{}, err
	}
	objects, err := l.objects(ctx, found.head.references)
	if err != nil {
		return storedManifest{}, err
	}
	entries := make(map[spoke.ObjectKey]spoke.ManifestEntry, len(objects))
	for _, r := range found.head.references {
		entries[r.key] = spoke.ManifestEntry{Object: objects[r.digest], SetBy: r.setBy}
	}
	found.manifest = &spoke.Manifest{Number: found.head.number, Entries: entries}
	return found, nil
}

func (l *Loader) readHead(ctx context.Context) (storedManifest, error) {
	pair, err := l.store.Get(ctx, manifestKey)
	if errors.Is(err, spoke.ErrKeyMissing) {
		return storedManifest{}, nil
	}
	if err != nil {
		return storedManifest{}, eris.Wrap(err, "read the manifest")
	}
	h, err := decodeHead(pair.Value)
	return storedManifest{head: h, revision: pair.Revision}, err
}

// objects returns the referenced objects by digest and replaces the cache with them.
func (l *Loader) objects(ctx context.Context, references []reference) (map[string]spoke.Object, error) {
	found := make(map[string]spoke.Object, len(references))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, r := range references {
		if object, ok := l.cached(r.digest); ok {
			mu.Lock()
			found[r.digest] = object
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			object, err := l.readObject(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			found[r.digest] = object
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cache = found
	return found, nil
}

func (l *Loader) cached(digest string) (spoke.Object, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	object, ok := l.cache[digest]
	return object, ok
}

func (l *Loader) readObject(ctx context.Context, r reference) (spoke.Object, error) {
	content, err := l.readValue(ctx, r.digest)
	if err != nil {
		return nil, eris.Wrapf(err, "object %s", r.key)
	}
	var report check.Report
	object := decodeObject(&report, r.key.String(), r.key.Kind, json.RawMessage(content))
	return object, report.Err()
}

// readValue returns the value stored under a content address and verifies its digest.
func (l *Loader) readValue(ctx context.Context, address string) ([]byte, error) {
	pair, err := l.store.Get(ctx, valueKey(address))
	if err != nil {
		return nil, err
	}
	if sum := digest(pair.Value); sum != address {
		return nil, eris.Errorf("value %s has digest %s", address, sum)
	}
	return pair.Value, nil
}
