package ticket_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/ticket"
)

func newClient(service *kvsvc.Service) *coord.Client {
	return coord.New("platform", coord.WithTransport(kvsvc.NewTransport(service)))
}

func baseTicket() spoke.Ticket {
	return spoke.Ticket{Number: 1, Author: "base", Objects: []spoke.Object{
		spoke.Rank{Name: "urgent", FirstTokenTarget: time.Second, Floor: 0.5, Worth: 3},
		spoke.Service{Name: "chat", Kind: spoke.ServiceLanguage, DefaultRank: "urgent"},
	}}
}

func workspaceTicket(number spoke.TicketNumber, author, id string, weight float64) spoke.Ticket {
	return spoke.Ticket{Number: number, Author: author, Objects: []spoke.Object{
		spoke.Workspace{ID: spoke.WorkspaceID(id), Weight: weight, Services: []spoke.ServiceName{"chat"}},
	}}
}

// operators is the state machine: operators race with tickets under faults, readers follow.
type operators struct {
	service   *kvsvc.Service
	acceptors []*ticket.Acceptor
	reader    *ticket.Loader
	view      *ticket.View
	top       spoke.TicketNumber
	// tried holds each ticket with the errors that its submissions ended with.
	tried []submission
}

type submission struct {
	ticket spoke.Ticket
	err    error
}

func (o *operators) setFaults(t *rapid.T) {
	o.service.SetFaults(kvsvc.Faults{
		Outage:      rapid.SampledFrom([]string{"", "", "", kvsvc.OutageRefuse}).Draw(t, "outage"),
		DelayMs:     1,
		LoseAnswers: rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "lose"),
		LoseNext:    rapid.IntRange(0, 6).Draw(t, "next"),
		StaleReads:  rapid.SampledFrom([]float64{0, 0.3, 0.7}).Draw(t, "stale"),
	})
}

func (o *operators) race(t *rapid.T) {
	count := rapid.IntRange(1, len(o.acceptors)).Draw(t, "count")
	batch := make([]submission, count)
	for i := range batch {
		lowest := max(1, int(o.top)-2)
		number := spoke.TicketNumber(rapid.IntRange(lowest, int(o.top)+2).Draw(t, "number"))
		id := rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "id")
		weight := float64(rapid.IntRange(0, 3).Draw(t, "weight"))
		author := fmt.Sprintf("op%d-%d", i, len(o.tried))
		batch[i].ticket = workspaceTicket(number, author, id, weight)
		o.top = max(o.top, number)
	}
	var group sync.WaitGroup
	for i := range batch {
		// Calls take 1 ms; starts at different moments make the order of all calls repeatable.
		start := time.Duration(rapid.IntRange(0, 400).Draw(t, "start")*len(batch)+i) * 10 * time.Microsecond
		group.Go(func() {
			<-time.After(start)
			_, batch[i].err = o.acceptors[i].Accept(context.Background(), batch[i].ticket)
		})
	}
	group.Wait()
	o.tried = append(o.tried, batch...)
}

func (o *operators) read(*rapid.T) {
	if m, _, err := o.reader.Load(context.Background()); err == nil {
		before := o.view.Number()
		o.view.Offer(m)
		if o.view.Number() < before {
			panic("the view went back")
		}
	}
}

// verify replays the accepted tickets in order of their numbers as the oracle.
func (o *operators) verify(t *rapid.T) {
	o.service.SetFaults(kvsvc.Faults{})
	ctx := context.Background()
	expected := (*spoke.Manifest)(nil).Apply(baseTicket())
	accepted := map[spoke.TicketNumber]string{1: encode(t, baseTicket())}
	snapshots := map[spoke.TicketNumber]*spoke.Manifest{0: {}, 1: expected}
	for number := spoke.TicketNumber(2); number <= o.top; number++ {
		found, err := o.acceptors[0].Ticket(ctx, number)
		if errors.Is(err, spoke.ErrKeyMissing) {
			continue
		}
		assert.NilError(t, err)
		accepted[number] = encode(t, found)
		expected = expected.Apply(found)
		snapshots[number] = expected
	}
	for _, s := range o.tried {
		checkSubmission(t, s, accepted[s.ticket.Number])
	}
	m, _, err := o.reader.Load(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, expected)
	if current := o.view.Current(); current != nil && current.Number > 0 {
		assert.DeepEqual(t, current, snapshots[current.Number])
	}
}

// checkSubmission compares what an operator was told with what the platform holds.
func checkSubmission(t *rapid.T, s submission, winner string) {
	var report *check.Report
	var stale *ticket.StaleNumberError
	var conflict *ticket.ConflictError
	won := winner == encode(t, s.ticket)
	switch {
	case s.err == nil:
		assert.Assert(t, won, "ticket %v was lost", s.ticket)
	case errors.As(s.err, &report):
		assert.Assert(t, !won, "ticket %v was reported and accepted: %v", s.ticket, s.err)
		assert.Equal(t, report.Findings[0].Place, "objects[0].value.weight")
	case errors.As(s.err, &stale):
		assert.Equal(t, winner, "")
	case errors.As(s.err, &conflict):
		assert.Assert(t, !won && winner != "")
		decoded, err := ticket.DecodeTicket([]byte(winner))
		assert.NilError(t, err)
		assert.Equal(t, conflict.Winner, decoded.Author)
	case errors.Is(s.err, spoke.ErrUnavailable):
		assert.Assert(t, !won, "ticket %v was accepted: %v", s.ticket, s.err)
	default:
		assert.ErrorIs(t, s.err, spoke.ErrAnswerLost)
	}
}

func encode(t *rapid.T, tk spoke.Ticket) string {
	content, err := ticket.EncodeTicket(tk)
	assert.NilError(t, err)
	return string(content)
}

// Guards against lost, doubled or half-applied tickets and wrong answers to operators who race
// while answers are lost and reads are stale.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			o := &operators{service: kvsvc.New(), view: ticket.NewView(), top: 1}
			o.service.SetFaults(kvsvc.Faults{DelayMs: 1})
			for seed := range uint64(3) {
				acceptor := ticket.NewAcceptor(newClient(o.service), ticket.WithSeed(seed), ticket.WithAttempts(4))
				_, err := acceptor.Accept(context.Background(), baseTicket())
				assert.NilError(t, err)
				o.acceptors = append(o.acceptors, acceptor)
			}
			o.reader = ticket.NewLoader(newClient(o.service))
			t.Repeat(map[string]func(*rapid.T){"faults": o.setFaults, "race": o.race, "read": o.read})
			o.verify(t)
		})
	})
}

// bubble hides the test's Deadline, which may not be asked for inside a synctest bubble.
type bubble struct{ testing.TB }
