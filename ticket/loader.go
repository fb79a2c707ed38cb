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

// parallelReads bounds the reads of one load, since all users share about 2,000 reads/s.
const parallelReads = 8

type (
	// Loader reads the manifest from the key-value service; it reads only values that are new.
	Loader struct {
		store spoke.KeyValue

		mu    sync.Mutex
		cache map[string]spoke.Object
	}

	// stored is the manifest with the state of its key.
	stored struct {
		head     head
		revision spoke.Revision
		manifest *spoke.Manifest
	}
)

// NewLoader returns a loader of the key-value service.
func NewLoader(store spoke.KeyValue) *Loader {
	return &Loader{store: store, cache: make(map[string]spoke.Object)}
}

// Load returns the manifest that the service holds and the revision of its key;
// before the first ticket the manifest is empty and has number zero.
func (l *Loader) Load(ctx context.Context) (*spoke.Manifest, spoke.Revision, error) {
	found, err := l.load(ctx)
	return found.manifest, found.revision, err
}

// Seed puts the objects of a manifest into the cache, so that a load need not read them.
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

func (l *Loader) load(ctx context.Context) (stored, error) {
	found, err := l.readHead(ctx)
	if err != nil {
		return stored{}, err
	}
	objects, err := l.objects(ctx, found.head.references)
	if err != nil {
		return stored{}, err
	}
	entries := make(map[spoke.ObjectKey]spoke.ManifestEntry, len(objects))
	for _, r := range found.head.references {
		entries[r.key] = spoke.ManifestEntry{Object: objects[r.digest], SetBy: r.setBy}
	}
	found.manifest = &spoke.Manifest{Number: found.head.number, Entries: entries}
	return found, nil
}

func (l *Loader) readHead(ctx context.Context) (stored, error) {
	pair, err := l.store.Get(ctx, manifestKey)
	if errors.Is(err, spoke.ErrKeyMissing) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, eris.Wrap(err, "read the manifest")
	}
	h, err := decodeHead(pair.Value)
	return stored{head: h, revision: pair.Revision}, err
}

// objects returns the values of the references by digest and makes them the whole cache.
func (l *Loader) objects(ctx context.Context, references []reference) (map[string]spoke.Object, error) {
	found := make(map[string]spoke.Object, len(references))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
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

// readValue returns the content only if it matches its address.
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
