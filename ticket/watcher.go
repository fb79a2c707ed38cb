package ticket

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// watchWait is how long a watch waits at the platform; a waiting watch counts as a call.
	watchWait  = 20 * time.Second
	firstRetry = 20 * time.Millisecond
	// lagRetry is the longest wait after a stale read, which would delay a known change.
	lagRetry = 100 * time.Millisecond
	// lastRetry is the longest wait in an outage, which must not draw many calls.
	lastRetry = 2 * time.Second
)

type (
	// Watcher is a task that reads new manifests from the platform while it is told to.
	Watcher struct {
		store  spoke.KeyValue
		loader *Loader
		view   *View
		timer  spoke.Timer

		manifests chan *spoke.Manifest

		mu      sync.Mutex
		active  bool
		changed chan struct{}
		cancel  context.CancelFunc
	}

	// WatcherOption changes a Watcher.
	WatcherOption func(*Watcher)
)

// WithWatcherTimer sets the timer service of the retries.
func WithWatcherTimer(t spoke.Timer) WatcherOption { return func(w *Watcher) { w.timer = t } }

// NewWatcher returns an inactive watcher; it reads from the platform only what the view lacks.
func NewWatcher(store spoke.KeyValue, view *View, opts ...WatcherOption) *Watcher {
	w := &Watcher{
		store: store, loader: NewLoader(store), view: view, timer: timer.NewSystem(),
		manifests: make(chan *spoke.Manifest, 1),
		changed:   make(chan struct{}, 1),
		cancel:    func() {},
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Manifests delivers each new manifest; a slow reader sees only the newest.
func (w *Watcher) Manifests() <-chan *spoke.Manifest { return w.manifests }

// SetActive says whether this host watches for its data centre; it ends a waiting watch.
func (w *Watcher) SetActive(active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == active {
		return
	}
	w.active = active
	w.cancel()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Run watches while the watcher is active, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if activeCtx, cancel := w.begin(ctx); activeCtx != nil {
			w.watch(activeCtx)
			cancel()
			continue
		}
		select {
		case <-w.changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// begin returns a context that ends when the watcher becomes inactive, nil if it is inactive.
func (w *Watcher) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.active {
		return nil, nil
	}
	activeCtx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	return activeCtx, cancel
}

// watch reads the manifest and waits for its next revision, over and over.
func (w *Watcher) watch(ctx context.Context) {
	var latest spoke.Revision
	retry := firstRetry
	for ctx.Err() == nil {
		m, revision, err := w.load(ctx)
		if errors.Is(err, spoke.ErrKeyMissing) || err == nil && revision < latest {
			w.pause(ctx, retry)
			retry = min(lagRetry, 2*retry)
			continue
		}
		if err != nil {
			w.pause(ctx, retry)
			retry = min(lastRetry, 2*retry)
			continue
		}
		retry = firstRetry
		w.deliver(m)
		latest = w.await(ctx, revision)
	}
}

func (w *Watcher) load(ctx context.Context) (*spoke.Manifest, spoke.Revision, error) {
	if current := w.view.Current(); current != nil {
		if err := w.loader.Seed(current); err != nil {
			return nil, 0, err
		}
	}
	return w.loader.Load(ctx)
}

// await returns the revision of the manifest once it is above the given one.
func (w *Watcher) await(ctx context.Context, revision spoke.Revision) spoke.Revision {
	retry := firstRetry
	for ctx.Err() == nil {
		pairs, _, err := w.store.Watch(ctx, manifestKey, revision, watchWait)
		if err != nil {
			w.pause(ctx, retry)
			retry = min(lastRetry, 2*retry)
			continue
		}
		retry = firstRetry
		for _, pair := range pairs {
			if pair.Key == manifestKey && pair.Revision > revision {
				return pair.Revision
			}
		}
	}
	return revision
}

func (w *Watcher) deliver(m *spoke.Manifest) {
	if m.Number > 0 {
		replace(w.manifests, m)
	}
}

func (w *Watcher) pause(ctx context.Context, wait time.Duration) {
	timer.Wait(ctx, w.timer, wait/2+rand.N(wait/2))
}
