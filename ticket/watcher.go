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
	// watchWait is how long one watch call may block at the platform; a blocked watch counts as a call.
	watchWait     = 20 * time.Second
	minRetryDelay = 20 * time.Millisecond
	// maxStaleRetryDelay bounds the backoff after a stale read; it is short, since a newer manifest
	// is certain to exist.
	maxStaleRetryDelay = 100 * time.Millisecond
	// maxOutageRetryDelay bounds the backoff during an outage; it is longer to limit the number of calls.
	maxOutageRetryDelay = 2 * time.Second
)

type (
	// Watcher is a task that reads new manifests from the platform while it is active.
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

	// WatcherOption configures a Watcher.
	WatcherOption func(*Watcher)
)

// WithWatcherTimer sets the timer that retries wait on.
func WithWatcherTimer(t spoke.Timer) WatcherOption { return func(w *Watcher) { w.timer = t } }

// NewWatcher returns an inactive Watcher. It does not read objects that are already in the view.
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

// Manifests returns the channel of new manifests; a slow receiver gets only the newest one.
func (w *Watcher) Manifests() <-chan *spoke.Manifest { return w.manifests }

// SetActive sets whether this host watches the platform for its data centre. A change cancels the
// current watch.
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

// Run watches while the Watcher is active, until ctx ends, and returns the error of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if activeCtx, cancel := w.activeContext(ctx); activeCtx != nil {
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

// activeContext returns a context that is cancelled when the Watcher becomes inactive, or nil if
// it is inactive.
func (w *Watcher) activeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.active {
		return nil, nil
	}
	activeCtx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	return activeCtx, cancel
}

// watch alternates between reading the manifest and waiting for its next revision.
func (w *Watcher) watch(ctx context.Context) {
	var latest spoke.Revision
	delay := minRetryDelay
	for ctx.Err() == nil {
		m, revision, err := w.load(ctx)
		if errors.Is(err, spoke.ErrKeyMissing) || err == nil && revision < latest {
			w.pause(ctx, delay)
			delay = min(maxStaleRetryDelay, 2*delay)
			continue
		}
		if err != nil {
			w.pause(ctx, delay)
			delay = min(maxOutageRetryDelay, 2*delay)
			continue
		}
		delay = minRetryDelay
		w.deliver(m)
		latest = w.awaitRevision(ctx, revision)
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

// awaitRevision waits until the manifest has a higher revision than the given one and returns it.
// If ctx ends first, it returns the given one.
func (w *Watcher) awaitRevision(ctx context.Context, revision spoke.Revision) spoke.Revision {
	delay := minRetryDelay
	for ctx.Err() == nil {
		pairs, _, err := w.store.Watch(ctx, manifestKey, revision, watchWait)
		if err != nil {
			w.pause(ctx, delay)
			delay = min(maxOutageRetryDelay, 2*delay)
			continue
		}
		delay = minRetryDelay
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
		sendLatest(w.manifests, m)
	}
}

func (w *Watcher) pause(ctx context.Context, delay time.Duration) {
	timer.Wait(ctx, w.timer, delay/2+rand.N(delay/2))
}
