package scene

import (
	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ticket"
)

// TicketCodec is the JSON form of tickets that the programs use.
type TicketCodec struct{}

var _ spoke.TicketCodec = TicketCodec{}

// EncodeTicket returns the ticket as JSON.
func (TicketCodec) EncodeTicket(t spoke.Ticket) ([]byte, error) { return ticket.EncodeTicket(t) }

// DecodeTicket reads a ticket and reports all findings.
func (TicketCodec) DecodeTicket(text []byte) (spoke.Ticket, error) { return ticket.DecodeTicket(text) }

// EncodeManifest returns the manifest as JSON.
func (TicketCodec) EncodeManifest(m *spoke.Manifest) ([]byte, error) {
	return ticket.EncodeManifest(m)
}
