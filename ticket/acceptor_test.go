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

// operators is a rapid state machine in which operators submit tickets concurrently under faults
// of the key-value service, while a reader loads the manifest.
type operators struct {
	service       *kvsvc.Service
	acceptors     []*ticket.Acceptor
	reader        *ticket.Loader
	view          *ticket.View
	highestNumber spoke.TicketNumber
	// submissions holds every submitted ticket with the error that Accept returned.
	submissions []submission
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

func (o *operators) submitConcurrently(t *rapid.T) {
	count := rapid.IntRange(1, len(o.acceptors)).Draw(t, "count")
	batch := make([]submission, count)
	for i := range batch {
		lowest := max(1, int(o.highestNumber)-2)
		number := spoke.TicketNumber(rapid.IntRange(lowest, int(o.highestNumber)+2).Draw(t, "number"))
		id := rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "id")
		weight := float64(rapid.IntRange(0, 3).Draw(t, "weight"))
		author := fmt.Sprintf("op%d-%d", i, len(o.submissions))
		batch[i].ticket = workspaceTicket(number, author, id, weight)
		o.highestNumber = max(o.highestNumber, number)
	}
	var group sync.WaitGroup
	for i := range batch {
		// Calls take 1 ms; distinct start times make the order of all calls reproducible.
		start := time.Duration(rapid.IntRange(0, 400).Draw(t, "start")*len(batch)+i) * 10 * time.Microsecond
		group.Go(func() {
			<-time.After(start)
			_, batch[i].err = o.acceptors[i].Accept(context.Background(), batch[i].ticket)
		})
	}
	group.Wait()
	o.submissions = append(o.submissions, batch...)
}

func (o *operators) read(*rapid.T) {
	if m, _, err := o.reader.Load(context.Background()); err == nil {
		before := o.view.Number()
		o.view.Offer(m)
		if o.view.Number() < before {
			panic("the number of the view decreased")
		}
	}
}

// verify applies the accepted tickets in order of their numbers to obtain the expected manifests,
// and checks the results of all submissions, the stored manifest and the view against them.
func (o *operators) verify(t *rapid.T) {
	o.service.SetFaults(kvsvc.Faults{})
	ctx := context.Background()
	expected := (*spoke.Manifest)(nil).Apply(baseTicket())
	accepted := map[spoke.TicketNumber]string{1: encode(t, baseTicket())}
	snapshots := map[spoke.TicketNumber]*spoke.Manifest{0: {}, 1: expected}
	for number := spoke.TicketNumber(2); number <= o.highestNumber; number++ {
		found, err := o.acceptors[0].Ticket(ctx, number)
		if errors.Is(err, spoke.ErrKeyMissing) {
			continue
		}
		assert.NilError(t, err)
		accepted[number] = encode(t, found)
		expected = expected.Apply(found)
		snapshots[number] = expected
	}
	for _, s := range o.submissions {
		checkSubmission(t, s, accepted[s.ticket.Number])
	}
	m, _, err := o.reader.Load(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, expected)
	if current := o.view.Current(); current != nil && current.Number > 0 {
		assert.DeepEqual(t, current, snapshots[current.Number])
	}
}

// checkSubmission checks the error of a submission against the accepted ticket of its number, which
// is empty if there is none.
func checkSubmission(t *rapid.T, s submission, winner string) {
	var report *check.Report
	var stale *ticket.StaleNumberError
	var conflict *ticket.ConflictError
	won := winner == encode(t, s.ticket)
	switch {
	case s.err == nil:
		assert.Assert(t, won, "ticket %v was lost", s.ticket)
	case errors.As(s.err, &report):
		assert.Assert(t, !won, "ticket %v has findings but was accepted: %v", s.ticket, s.err)
		assert.Equal(t, report.Findings[0].Place, "objects[0].value.weight")
	case errors.As(s.err, &stale):
		assert.Equal(t, winner, "")
	case errors.As(s.err, &conflict):
		assert.Assert(t, !won && winner != "")
		decoded, err := ticket.DecodeTicket([]byte(winner))
		assert.NilError(t, err)
		assert.Equal(t, conflict.Winner, decoded.Author)
	case errors.Is(s.err, spoke.ErrUnavailable):
		assert.Assert(t, !won, "ticket %v was accepted despite %v", s.ticket, s.err)
	default:
		assert.ErrorIs(t, s.err, spoke.ErrAnswerLost)
	}
}

func encode(t *rapid.T, tk spoke.Ticket) string {
	content, err := ticket.EncodeTicket(tk)
	assert.NilError(t, err)
	return string(content)
}

// TestConcurrentSubmissions guards against tickets that are lost, applied twice or applied in part,
// and against wrong results of Accept, when operators submit concurrently while answers of the
// key-value service are lost and reads are stale.
func TestConcurrentSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			o := &operators{service: kvsvc.New(), view: ticket.NewView(), highestNumber: 1}
			o.service.SetFaults(kvsvc.Faults{DelayMs: 1})
			for seed := range uint64(3) {
				acceptor := ticket.NewAcceptor(newClient(o.service), ticket.WithSeed(seed), ticket.WithAttempts(4))
				_, err := acceptor.Accept(context.Background(), baseTicket())
				assert.NilError(t, err)
				o.acceptors = append(o.acceptors, acceptor)
			}
			o.reader = ticket.NewLoader(newClient(o.service))
			t.Repeat(map[string]func(*rapid.T){"faults": o.setFaults, "race": o.submitConcurrently, "read": o.read})
			o.verify(t)
		})
	})
}

// bubble hides the Deadline method of the test, which must not be called inside a synctest bubble.
type bubble struct{ testing.TB }
