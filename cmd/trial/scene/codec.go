package scene

import (
	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/ticket"
)

// TicketCodec encodes and decodes tickets in the JSON format of the programs.
type TicketCodec struct{}

var _ spoke.TicketCodec = TicketCodec{}

// EncodeTicket returns the ticket as JSON.
func (TicketCodec) EncodeTicket(t spoke.Ticket) ([]byte, error) { return ticket.EncodeTicket(t) }

// DecodeTicket decodes a ticket; the error lists all findings.
func (TicketCodec) DecodeTicket(text []byte) (spoke.Ticket, error) { return ticket.DecodeTicket(text) }

// EncodeManifest returns the manifest as JSON.
func (TicketCodec) EncodeManifest(m *spoke.Manifest) ([]byte, error) {
	return ticket.EncodeManifest(m)
}
