package member

import "magnoliaspoke.example/spoke"

type (
	// Beat is the freshness of one host's record.
	Beat struct {
		Incarnation spoke.Incarnation
		// Count rises with every heartbeat round of the host.
		Count uint64
		// Version rises whenever the host's record changes in anything but the loads.
		Version uint64
		// Loads rises whenever the loads of the record change.
		LoadsVersion uint64
	}

	// Record is what a host says about itself.
	Record struct {
		ID         spoke.HostID
		DataCentre spoke.DataCentreID
		Address    spoke.Address
		Leaving    bool
		Digest     spoke.Digest
		// Partial says that the loads were left out on the way.
		Partial bool
	}

	// Heartbeat is exchanged between two hosts; both directions have the same form.
	Heartbeat struct {
		From spoke.HostID
		// Beats is the sender's knowledge of all hosts in scope.
		Beats map[spoke.HostID]Beat
		// Records holds the records that the receiver lacks, and always the sender's own.
		Records []Record
		// Remote says that Beats covers the other data centres too; their records go
		// without loads, which change too often to be passed on.
		Remote bool
	}

	// Message is an input of a Table.
	Message interface{ isMessage() }

	// Tick starts a heartbeat round.
	Tick struct{}
	// Received is a heartbeat request from another host.
	Received struct{ Heartbeat Heartbeat }
	// Answered is the other host's answer to a heartbeat.
	Answered struct{ Heartbeat Heartbeat }
	// Refused reports that a host's address refused a connection.
	ConnectionRefused struct{ Host spoke.HostID }
	// SetDigest replaces the own digest.
	SetDigest struct{ Digest spoke.Digest }
	// SetNumber replaces the configuration number of the own digest.
	SetNumber struct{ Number spoke.TicketNumber }
	// AddMark adds a quarantine mark to the own digest and tells every known host.
	AddMark struct{ Mark spoke.QuarantineMark }
	// Leave marks the own host as leaving and tells every host of the data centre.
	Leave struct{}

	// Action is an output of a Table.
	Action interface{ isAction() }

	// Send asks for a heartbeat to be sent.
	Send struct {
		Host      spoke.HostID
		Address   spoke.Address
		Heartbeat Heartbeat
	}
	// Reply answers the heartbeat in hand.
	Reply struct{ Heartbeat Heartbeat }
)

func (Tick) isMessage()              {}
func (Received) isMessage()          {}
func (Answered) isMessage()          {}
func (ConnectionRefused) isMessage() {}
func (SetDigest) isMessage()         {}
func (SetNumber) isMessage()         {}
func (AddMark) isMessage()           {}
func (Leave) isMessage()             {}

func (Send) isAction()  {}
func (Reply) isAction() {}
