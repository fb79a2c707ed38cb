package cache

import (
	"context"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// Links schedules the transfers of one process over the links of store hosts and keeps the
// measured rates of the links; it is safe for concurrent use.
type Links struct {
	clock spoke.Timer

	mu        sync.Mutex
	scheduler *LinkScheduler
	rates     *Rates[spoke.Address]
	// waiting holds a channel for each waiting transfer, which is closed when the transfer may start.
	waiting map[TransferID]chan struct{}
	lastID  TransferID
}

// NewLinks returns links without transfers and without measurements.
func NewLinks(clock spoke.Timer) *Links {
	return &Links{
		clock:     clock,
		scheduler: NewLinkScheduler(),
		rates:     NewRates[spoke.Address](),
		waiting:   make(map[TransferID]chan struct{}),
	}
}

// Acquire waits until a transfer may use the link of a store host; the returned function releases
// the link. It fails with the cause of the context if that ends first.
func (l *Links) Acquire(ctx context.Context, at spoke.Address, order int, size spoke.ByteSize) (func(), error) {
	granted := make(chan struct{})
	l.mu.Lock()
	l.lastID++
	transfer := Transfer{ID: l.lastID, Link: at, Order: order, Size: size}
	l.waiting[transfer.ID] = granted
	l.start(l.scheduler.Handle(RequestTransfer{Transfer: transfer}))
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

// Utilisation returns the share of a link's slots that running and waiting transfers take, at most 1.
func (l *Links) Utilisation(at spoke.Address) spoke.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Utilisation(at)
}

// bytesAhead returns the bytes running or waiting on a link ahead of a new transfer of the order.
func (l *Links) bytesAhead(at spoke.Address, order int) spoke.ByteSize {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.BytesAhead(at, order)
}

// claimProbe reports whether a probe of the link is due and, if so, defers the next one.
func (l *Links) claimProbe(at spoke.Address) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates.ClaimProbe(l.clock.Now(), at)
}

// updateRates calls update with the current time and the rates while it holds the lock.
func (l *Links) updateRates(update func(now time.Time, rates *Rates[spoke.Address])) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(l.clock.Now(), l.rates)
}

func (l *Links) release(transfer Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, transfer.ID)
	l.start(l.scheduler.Handle(EndTransfer{Transfer: transfer}))
}

// start wakes the waiting transfers that may start; the caller holds the lock.
func (l *Links) start(ids []TransferID) {
	for _, id := range ids {
		if granted, ok := l.waiting[id]; ok {
			close(granted)
			delete(l.waiting, id)
		}
	}
}
