package ticket

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/timer"
)

const (
	defaultAttempts = 10
	firstBackoff    = 10 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
)

type (
	// Acceptor accepts tickets into the key-value service.
	Acceptor struct {
		store    spoke.KeyValue
		loader   *Loader
		timer    spoke.Timer
		attempts int
		seed     uint64
		// seen is the highest revision of the manifest seen; a read below it is stale.
		seen atomic.Uint64
	}

	// Option changes an Acceptor.
	Option func(*Acceptor)
)

// WithTimer sets the timer service of the backoff.
func WithTimer(t spoke.Timer) Option { return func(a *Acceptor) { a.timer = t } }

// WithAttempts bounds how often a ticket is tried.
func WithAttempts(n int) Option { return func(a *Acceptor) { a.attempts = n } }

// WithSeed sets the seed of the backoff's jitter; the default is random.
func WithSeed(seed uint64) Option { return func(a *Acceptor) { a.seed = seed } }

// NewAcceptor returns an acceptor that writes to the key-value service.
func NewAcceptor(store spoke.KeyValue, opts ...Option) *Acceptor {
	a := &Acceptor{
		store: store, loader: NewLoader(store), timer: timer.NewSystem(),
		attempts: defaultAttempts, seed: rand.Uint64(),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Accept validates the ticket and makes it the head by one compare-and-swap on the manifest.
// It returns the manifest that contains the ticket. Errors are *check.Report,
// *StaleNumberError, *ConflictError, or match ErrUnavailable (certainly not accepted)
// or ErrAnswerLost (may be accepted; the same ticket can be sent again).
func (a *Acceptor) Accept(ctx context.Context, t spoke.Ticket) (*spoke.Manifest, error) {
	plan, err := newPlan(t)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(a.seed, uint64(t.Number)))
	var lost bool
	var last error
	for attempt := range a.attempts {
		if attempt > 0 && !a.pause(ctx, attempt, random) {
			break
		}
		m, err := a.try(ctx, plan)
		if err == nil || !isTransient(err) {
			return m, err
		}
		last = err
		lost = lost || errors.Is(err, errUncertain)
	}
	return nil, givenUp(t, lost, last)
}

// Ticket returns the accepted ticket of a number or ErrKeyMissing.
func (a *Acceptor) Ticket(ctx context.Context, number spoke.TicketNumber) (spoke.Ticket, error) {
	found, err := a.loader.readHead(ctx)
	if err != nil {
		return spoke.Ticket{}, err
	}
	record, err := a.record(ctx, found.head, number)
	if err != nil {
		return spoke.Ticket{}, eris.Wrapf(err, "ticket %d", number)
	}
	content, err := a.loader.readValue(ctx, record.Digest)
	if err != nil {
		return spoke.Ticket{}, eris.Wrapf(err, "ticket %d", number)
	}
	return DecodeTicket(content)
}

// try makes one pass from reading the head to the compare-and-swap. A pass after a lost answer
// finds the ticket at or below the head if the earlier write took effect.
func (a *Acceptor) try(ctx context.Context, p plan) (*spoke.Manifest, error) {
	found, err := a.loader.load(ctx)
	if err != nil {
		return nil, err
	}
	if !a.see(found.revision) {
		return nil, errStaleRead
	}
	if p.ticket.Number <= found.head.number {
		return found.manifest, a.settle(ctx, p, found.head)
	}
	if err := Validate(found.manifest, p.ticket); err != nil {
		return nil, err
	}
	next := found.manifest.Apply(p.ticket)
	following, dropped := found.head.next(next, p.digestsAfter(found.head), p.accepted)
	content, err := encodeHead(following)
	if err != nil {
		return nil, err
	}
	if err := checkSize(content); err != nil {
		return nil, err
	}
	if err := a.prepare(ctx, p, dropped); err != nil {
		return nil, err
	}
	revision, err := a.store.CompareAndSwap(ctx, manifestKey, content, found.revision, 0)
	if errors.Is(err, spoke.ErrAnswerLost) {
		return nil, eris.Wrapf(errUncertain, "%v", err)
	}
	if err != nil {
		return nil, eris.Wrap(err, "swap the manifest")
	}
	a.see(revision)
	return next, nil
}

// see reports whether a revision of the manifest is not below one seen before. Without it,
// a stale read after a lost answer could lead to a report on a ticket that is accepted.
func (a *Acceptor) see(revision spoke.Revision) bool {
	for {
		seen := a.seen.Load()
		if uint64(revision) < seen {
			return false
		}
		if a.seen.CompareAndSwap(seen, uint64(revision)) {
			return true
		}
	}
}

// settle answers a ticket whose number is at or below the head.
func (a *Acceptor) settle(ctx context.Context, p plan, h head) error {
	record, err := a.record(ctx, h, p.ticket.Number)
	switch {
	case errors.Is(err, spoke.ErrKeyMissing):
		return &StaleNumberError{Number: p.ticket.Number, Head: h.number}
	case err != nil:
		return err
	case record.Digest != p.accepted.Digest:
		return &ConflictError{Number: p.ticket.Number, Winner: record.Author}
	default:
		return nil
	}
}

func (a *Acceptor) record(ctx context.Context, h head, number spoke.TicketNumber) (accepted, error) {
	if record, ok := h.find(number); ok {
		return record, nil
	}
	if len(h.recent) < recentTickets || number > h.recent[0].Number {
		return accepted{}, eris.Wrapf(spoke.ErrKeyMissing, "no ticket %d", number)
	}
	pair, err := a.store.Get(ctx, ticketKey(number))
	if err != nil {
		return accepted{}, err
	}
	return decodeAccepted(pair.Value)
}

// prepare stores what the next manifest refers to before the manifest itself.
func (a *Acceptor) prepare(ctx context.Context, p plan, dropped []accepted) error {
	for _, v := range p.values {
		if err := a.putOnce(ctx, valueKey(v.digest), v.content); err != nil {
			return err
		}
	}
	for _, record := range dropped {
		content, err := encodeAccepted(record)
		if err != nil {
			return err
		}
		if err := a.putOnce(ctx, ticketKey(record.Number), content); err != nil {
			return err
		}
	}
	return nil
}

// putOnce writes a value that never changes; an existing one is as good. After a lost answer
// it reads the value back, because the answer of a repeated write may be lost as well.
func (a *Acceptor) putOnce(ctx context.Context, key string, content []byte) error {
	_, err := a.store.CompareAndSwap(ctx, key, content, 0, 0)
	if errors.Is(err, spoke.ErrConflict) {
		return nil
	}
	if errors.Is(err, spoke.ErrAnswerLost) {
		if pair, readErr := a.store.Get(ctx, key); readErr == nil && bytes.Equal(pair.Value, content) {
			return nil
		}
	}
	return eris.Wrapf(err, "store %q", key)
}

// pause backs off with jitter and reports whether to go on.
func (a *Acceptor) pause(ctx context.Context, attempt int, random *rand.Rand) bool {
	limit := min(maxBackoff, firstBackoff<<min(attempt, 10))
	wait := a.timer.After(limit/2 + time.Duration(random.Int64N(int64(limit/2))))
	defer wait.Stop()
	select {
	case <-wait.C():
		return true
	case <-ctx.Done():
		return false
	}
}
