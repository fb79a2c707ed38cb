package cache

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// Links shares the links of store hosts between the transfers of one process and keeps their
// rates; it is safe for concurrent use.
type Links struct {
	clock spoke.Timer

	mu      sync.Mutex
	budget  *LinkBudget
	rates   *Rates[spoke.Address]
	waiting map[TransferID]chan struct{}
	last    TransferID
}

// NewLinks returns links without transfers and without measurements.
func NewLinks(clock spoke.Timer) *Links {
	return &Links{
		clock:   clock,
		budget:  NewLinkBudget(),
		rates:   NewRates[spoke.Address](),
		waiting: make(map[TransferID]chan struct{}),
	}
}

// Acquire waits for the link to a store host; the returned function gives it back.
func (l *Links) Acquire(ctx context.Context, at spoke.Address, order int, size spoke.ByteSize) (func(), error) {
	granted := make(chan struct{})
	l.mu.Lock()
	l.last++
	transfer := Transfer{ID: l.last, Link: at, Order: order, Size: size}
	l.waiting[transfer.ID] = granted
	l.start(l.budget.Handle(RequestTransfer{Transfer: transfer}))
	l.mu.Unlock()
	release := func() { l.release(transfer) }
	select {
	case <-granted:
		return release, nil
	case <-ctx.Done():
		release()
		return nil, context.Cause(ctx)
	}
}

// Rate returns the measured rate of a link; zero means unknown.
func (l *Links) Rate(at spoke.Address) spoke.ByteRate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return spoke.ByteRate(l.rates.Value(at))
}

// Busy returns the share of a link's places that are in use.
func (l *Links) Busy(at spoke.Address) spoke.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Busy(at)
}

func (l *Links) queue(at spoke.Address, order int) spoke.ByteSize {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Queue(at, order)
}

// claimProbe reports whether a link may be tried against the prediction.
func (l *Links) claimProbe(at spoke.Address) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.ClaimProbe(l.clock.Now(), at)
}

// measure runs a change of the rates.
func (l *Links) measure(change func(now time.Time, rates *Rates[spoke.Address])) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.clock.Now(), l.rates)
}

func (l *Links) release(transfer Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, transfer.ID)
	l.start(l.budget.Handle(EndTransfer{Transfer: transfer}))
}

func (l *Links) start(ids []TransferID) {
	for _, id := range ids {
		if granted, ok := l.waiting[id]; ok {
			close(granted)
			delete(l.waiting, id)
		}
	}
}
