package member

import "magnoliaspoke.example/spoke"

type (
	// Beat holds the counters that determine which of two copies of a host's record is newer.
	Beat struct {
		Incarnation spoke.Incarnation
		// Count rises with every heartbeat round of the host.
		Count uint64
		// Version rises whenever the host's record changes in anything but the loads.
		Version uint64
		// LoadsVersion rises with every SetDigest, which replaces the loads.
		LoadsVersion uint64
	}

	// Record is the description that a host publishes of itself.
	Record struct {
		ID         spoke.HostID
		DataCentre spoke.DataCentreID
		Address    spoke.Address
		Leaving    bool
		Digest     spoke.Digest
		// Partial is true if another host forwarded the record without its loads.
		Partial bool
	}

	// Heartbeat is exchanged between two hosts; both directions have the same form.
	Heartbeat struct {
		From spoke.HostID
		// Beats holds the latest beat that the sender has of each host in scope.
		Beats map[spoke.HostID]Beat
		// Records holds the records that the receiver lacks, and always the sender's own.
		Records []Record
		// Remote is true if Beats covers the other data centres too. Their records are
		// sent without loads, which change too often to be forwarded.
		Remote bool
	}

	// Message is an input of a Table.
	Message interface{ isMessage() }

	// Tick starts a heartbeat round.
	Tick struct{}
	// Received is a heartbeat request from another host.
	Received struct{ Heartbeat Heartbeat }
	// Answered is the other host's response to a heartbeat.
	Answered struct{ Heartbeat Heartbeat }
	// ConnectionRefused reports that a host's address refused a connection.
	ConnectionRefused struct{ Host spoke.HostID }
	// SetDigest replaces the digest of the local host.
	SetDigest struct{ Digest spoke.Digest }
	// SetNumber raises the configuration number of the local host's digest; lower numbers are ignored.
	SetNumber struct{ Number spoke.TicketNumber }
	// AddMark adds a quarantine mark to the local host's digest and sends it to all hosts.
	AddMark struct{ Mark spoke.QuarantineMark }
	// Leave marks the local host as leaving and sends the change to every host of its data
	// centre and to one host of each other data centre.
	Leave struct{}

	// Action is an output of a Table.
	Action interface{ isAction() }

	// Send is a heartbeat to send to a host.
	Send struct {
		Host      spoke.HostID
		Address   spoke.Address
		Heartbeat Heartbeat
	}
	// Reply is the response to the heartbeat request being handled.
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
