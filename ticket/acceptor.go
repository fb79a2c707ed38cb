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
	// Acceptor validates tickets and commits them to the key-value service.
	Acceptor struct {
		store    spoke.KeyValue
		loader   *Loader
		timer    spoke.Timer
		attempts int
		seed     uint64
		// highestRevision is the highest revision of the manifest read or written so far; a read
		// of a lower one is stale.
		highestRevision atomic.Uint64
	}

	// Option configures an Acceptor.
	Option func(*Acceptor)
)

// WithTimer sets the timer that the backoff waits on.
func WithTimer(t spoke.Timer) Option { return func(a *Acceptor) { a.timer = t } }

// WithAttempts sets the maximum number of attempts per ticket.
func WithAttempts(n int) Option { return func(a *Acceptor) { a.attempts = n } }

// WithSeed sets the seed of the backoff jitter, which is random by default.
func WithSeed(seed uint64) Option { return func(a *Acceptor) { a.seed = seed } }

// NewAcceptor returns an Acceptor that writes to store.
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

// Accept validates the ticket and makes it the head with a single compare-and-swap on the
// manifest. It returns a manifest that contains the ticket. Accepting the same ticket again is
// not an error. Errors are *check.Report, *StaleNumberError or *ConflictError, or match
// ErrUnavailable (the ticket was certainly not accepted) or ErrAnswerLost (the ticket may have been
// accepted and can be submitted again).
func (a *Acceptor) Accept(ctx context.Context, t spoke.Ticket) (*spoke.Manifest, error) {
	prepared, err := prepareTicket(t)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(a.seed, uint64(t.Number)))
	var uncertain bool
	var lastErr error
	for attempt := range a.attempts {
		if attempt > 0 && !a.pause(ctx, attempt, random) {
			break
		}
		m, err := a.try(ctx, prepared)
		if err == nil || !isTransient(err) {
			return m, err
		}
		lastErr = err
		uncertain = uncertain || errors.Is(err, errUncertain)
	}
	return nil, exhaustedError(t, uncertain, lastErr)
}

// Ticket returns the accepted ticket with the number, or ErrKeyMissing if there is none.
func (a *Acceptor) Ticket(ctx context.Context, number spoke.TicketNumber) (spoke.Ticket, error) {
	found, err := a.loader.readHead(ctx)
	if err != nil {
		return spoke.Ticket{}, err
	}
	record, err := a.findRecord(ctx, found.head, number)
	if err != nil {
		return spoke.Ticket{}, eris.Wrapf(err, "ticket %d", number)
	}
	content, err := a.loader.readValue(ctx, record.Digest)
	if err != nil {
		return spoke.Ticket{}, eris.Wrapf(err, "ticket %d", number)
	}
	return DecodeTicket(content)
}

// try makes one attempt, from reading the head to the compare-and-swap. After a lost answer
// the next attempt finds the ticket at or below the head if the earlier write took effect.
func (a *Acceptor) try(ctx context.Context, p preparedTicket) (*spoke.Manifest, error) {
	found, err := a.loader.load(ctx)
	if err != nil {
		return nil, err
	}
	if !a.observeRevision(found.revision) {
		return nil, errStaleRead
	}
	if p.ticket.Number <= found.head.number {
		return found.manifest, a.checkAccepted(ctx, p, found.head)
	}
	if err := Validate(found.manifest, p.ticket); err != nil {
		return nil, err
	}
	next := found.manifest.Apply(p.ticket)
	nextHead, dropped := found.head.next(next, p.digestsAfter(found.head), p.record)
	content, err := encodeHead(nextHead)
	if err != nil {
		return nil, err
	}
	if err := checkSize(content); err != nil {
		return nil, err
	}
	if err := a.storeReferenced(ctx, p, dropped); err != nil {
		return nil, err
	}
	revision, err := a.store.CompareAndSwap(ctx, manifestKey, content, found.revision, 0)
	if errors.Is(err, spoke.ErrAnswerLost) {
		return nil, eris.Wrapf(errUncertain, "%v", err)
	}
	if err != nil {
		return nil, eris.Wrap(err, "swap the manifest")
	}
	a.observeRevision(revision)
	return next, nil
}

// observeRevision records a revision of the manifest and reports whether it is at least the
// highest one recorded. Without this check, a stale read after a lost answer could make Accept
// return validation findings for a ticket that was in fact accepted.
func (a *Acceptor) observeRevision(revision spoke.Revision) bool {
	for {
		highest := a.highestRevision.Load()
		if uint64(revision) < highest {
			return false
		}
		if a.highestRevision.CompareAndSwap(highest, uint64(revision)) {
			return true
		}
	}
}

// checkAccepted returns nil if the same ticket was accepted under its number, which is at or
// below the head, and otherwise the reason why the ticket cannot be accepted.
func (a *Acceptor) checkAccepted(ctx context.Context, p preparedTicket, h head) error {
	record, err := a.findRecord(ctx, h, p.ticket.Number)
	switch {
	case errors.Is(err, spoke.ErrKeyMissing):
		return &StaleNumberError{Number: p.ticket.Number, Head: h.number}
	case err != nil:
		return err
	case record.Digest != p.record.Digest:
		return &ConflictError{Number: p.ticket.Number, Winner: record.Author}
	default:
		return nil
	}
}

// findRecord returns the record of an accepted ticket, from the head or from the record's own key.
func (a *Acceptor) findRecord(ctx context.Context, h head, number spoke.TicketNumber) (ticketRecord, error) {
	if record, ok := h.find(number); ok {
		return record, nil
	}
	if len(h.recent) < maxRecentTickets || number > h.recent[0].Number {
		return ticketRecord{}, eris.Wrapf(spoke.ErrKeyMissing, "no ticket %d", number)
	}
	pair, err := a.store.Get(ctx, ticketKey(number))
	if err != nil {
		return ticketRecord{}, err
	}
	return decodeTicketRecord(pair.Value)
}

// storeReferenced stores the values of the ticket and the records of the tickets that the head
// no longer lists. They are written before the manifest, so that it never refers to a missing one.
func (a *Acceptor) storeReferenced(ctx context.Context, p preparedTicket, dropped []ticketRecord) error {
	for _, v := range p.values {
		if err := a.putImmutable(ctx, valueKey(v.digest), v.content); err != nil {
			return err
		}
	}
	for _, record := range dropped {
		content, err := encodeTicketRecord(record)
		if err != nil {
			return err
		}
		if err := a.putImmutable(ctx, ticketKey(record.Number), content); err != nil {
			return err
		}
	}
	return nil
}

// putImmutable creates a key whose value never changes; a key that exists already counts as
// success. After a lost answer it reads the value back, because the answer to a repeated write
// may be lost as well.
func (a *Acceptor) putImmutable(ctx context.Context, key string, content []byte) error {
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

// pause waits for the backoff of the attempt with jitter; it returns false if ctx ends first.
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
