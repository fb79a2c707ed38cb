package ticket

import (
	"sync"
	"sync/atomic"

	"magnoliaspoke.example/spoke"
)

// View is the configuration in force at one host; its number never falls.
type View struct {
	current atomic.Pointer[spoke.Manifest]

	mu          sync.Mutex
	subscribers map[chan *spoke.Manifest]struct{}
}

var _ spoke.ManifestSource = (*View)(nil)

// NewView returns a view without a configuration.
func NewView() *View {
	return &View{subscribers: make(map[chan *spoke.Manifest]struct{})}
}

// Current returns the snapshot in force, nil before the first one.
func (v *View) Current() *spoke.Manifest { return v.current.Load() }

// Number returns the number in force, zero before the first snapshot.
func (v *View) Number() spoke.TicketNumber { return number(v.Current()) }

// Offer puts a snapshot in force if its number is above the one in force,
// and reports whether it did.
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
		replace(subscriber, m)
	}
	return true
}

// Subscribe returns a channel with the snapshot in force and every later one, and a function
// that ends the subscription; a slow reader sees only the newest snapshot.
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

// replace must be called with the view's lock held, so that there is one sender.
func replace(subscriber chan *spoke.Manifest, m *spoke.Manifest) {
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
