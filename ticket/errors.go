package ticket

import (
	"fmt"

	"magnoliaspoke.example/spoke"
)

type (
	// StaleNumberError is returned for a ticket number at or below the head that no accepted ticket has.
	StaleNumberError struct {
		Number spoke.TicketNumber
		// Head is the number of the stored manifest.
		Head spoke.TicketNumber
	}

	// ConflictError is returned for a ticket whose number was accepted with different content.
	ConflictError struct {
		Number spoke.TicketNumber
		// Winner is the author of the accepted ticket.
		Winner string
	}
)

// Error returns a message with the number and the head.
func (e *StaleNumberError) Error() string {
	return fmt.Sprintf("stale-number: ticket %d is not above the head %d", e.Number, e.Head)
}

// Error returns a message with the number and the author of the accepted ticket.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: ticket %d was accepted with other content from %q", e.Number, e.Winner)
}
