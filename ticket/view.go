package ticket

import (
	"sync"
	"sync/atomic"

	"magnoliaspoke.example/spoke"
)

// View holds the configuration in force at one host. Its number never decreases.
type View struct {
	current atomic.Pointer[spoke.Manifest]

	mu          sync.Mutex
	subscribers map[chan *spoke.Manifest]struct{}
}

var _ spoke.ManifestSource = (*View)(nil)

// NewView returns a View without a configuration.
func NewView() *View {
	return &View{subscribers: make(map[chan *spoke.Manifest]struct{})}
}

// Current returns the manifest in force, nil before the first one.
func (v *View) Current() *spoke.Manifest { return v.current.Load() }

// Number returns the number of the manifest in force, zero before the first one.
func (v *View) Number() spoke.TicketNumber { return number(v.Current()) }

// Offer puts a manifest in force if its number is higher than the current one, and reports
// whether it did.
func (v *View) Offer(m *spoke.Manifest) bool {
	if m == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.current.Load()
	if current != nil && m.Number <= current.Number {
		return false
	}
	v.current.Store(m)
	for subscriber := range v.subscribers {
		sendLatest(subscriber, m)
	}
	return true
}

// Subscribe returns a channel that receives the manifest in force and later ones, and a function
// that ends the subscription. A slow receiver gets only the newest manifest.
func (v *View) Subscribe() (<-chan *spoke.Manifest, func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	subscriber := make(chan *spoke.Manifest, 1)
	v.subscribers[subscriber] = struct{}{}
	if current := v.current.Load(); current != nil {
		subscriber <- current
	}
	return subscriber, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.subscribers, subscriber)
	}
}

// sendLatest sends m on a channel with a buffer of one, in place of a manifest that was not yet
// received. The channel must have one sender at a time, or the call may block; View therefore
// calls it with its lock held.
func sendLatest(subscriber chan *spoke.Manifest, m *spoke.Manifest) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- m
}

func number(m *spoke.Manifest) spoke.TicketNumber {
	if m == nil {
		return 0
	}
	return m.Number
}
