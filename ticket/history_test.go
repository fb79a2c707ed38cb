package ticket_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/ticket"
)

// TestAcceptOldNumbers guards against wrong results of Accept and Ticket for numbers that the
// manifest no longer lists among its recent tickets.
func TestAcceptOldNumbers(t *testing.T) {
	ctx := context.Background()
	acceptor := ticket.NewAcceptor(newClient(kvsvc.New()))
	_, err := acceptor.Accept(ctx, baseTicket())
	assert.NilError(t, err)
	for number := spoke.TicketNumber(2); number < 700; number += 2 {
		_, err := acceptor.Accept(ctx, workspaceTicket(number, "op", "w1", float64(number)))
		assert.NilError(t, err)
	}

	m, err := acceptor.Accept(ctx, workspaceTicket(4, "op", "w1", 4))
	assert.NilError(t, err)
	assert.Equal(t, m.Number, spoke.TicketNumber(698))
	var conflict *ticket.ConflictError
	_, err = acceptor.Accept(ctx, workspaceTicket(4, "late", "w1", 5))
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Winner, "op")
	var stale *ticket.StaleNumberError
	_, err = acceptor.Accept(ctx, workspaceTicket(5, "late", "w1", 5))
	assert.Assert(t, errors.As(err, &stale))
	assert.Equal(t, stale.Head, spoke.TicketNumber(698))
	found, err := acceptor.Ticket(ctx, 4)
	assert.NilError(t, err)
	assert.DeepEqual(t, found, workspaceTicket(4, "op", "w1", 4))
}

// FuzzDecodeTicket guards against a decoder that panics on malformed input and against tickets
// whose encoding changes in a round trip.
func FuzzDecodeTicket(f *testing.F) {
	content, err := ticket.EncodeTicket(fullTicket())
	assert.NilError(f, err)
	f.Add(content)
	f.Add([]byte(`{"objects":[null,{"kind":"rank"}],"removed":[1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := ticket.DecodeTicket(data)
		if err != nil {
			return
		}
		content, err := ticket.EncodeTicket(decoded)
		assert.NilError(t, err)
		again, err := ticket.DecodeTicket(content)
		assert.NilError(t, err)
		repeated, err := ticket.EncodeTicket(again)
		assert.NilError(t, err)
		assert.Equal(t, string(repeated), string(content))
	})
}
