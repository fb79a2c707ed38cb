package ticket

import (
	"fmt"

	"magnoliaspoke.example/spoke"
)

type (
	// StaleNumberError refuses an unused number at or below the head.
	StaleNumberError struct {
		Number spoke.TicketNumber
		// Head is the number of the manifest in force.
		Head spoke.TicketNumber
	}

	// ConflictError refuses a number under which another content was accepted.
	ConflictError struct {
		Number spoke.TicketNumber
		// Winner is the author of the accepted ticket.
		Winner string
	}
)

// Error names the number and the head.
func (e *StaleNumberError) Error() string {
	return fmt.Sprintf("stale-number: ticket %d is not above the head %d", e.Number, e.Head)
}

// Error names the number and the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: ticket %d was accepted with other content from %q", e.Number, e.Winner)
}
