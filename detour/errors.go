package detour

import (
	"net/http"
	"syscall"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// errorHeader names why a host relays no connection.
	errorHeader = "Detour-Error"

	codeRefused     errorCode = "refused"
	codeUnreachable errorCode = "unreachable"
	codeUnlisted    errorCode = "unlisted"
	codeBusy        errorCode = "busy"
)

var (
	// ErrRefused reports that the relaying host reaches the upstream's machine, which refuses the connection; an error of
	// Dial that wraps it also wraps syscall.ECONNREFUSED.
	ErrRefused = eris.New("upstream refuses connections of the relaying host")
	// ErrUnreachable reports that the relaying host got no connection to the upstream.
	ErrUnreachable = eris.New("relaying host does not reach the upstream")
	// ErrUnlisted reports that the relaying host lists no such upstream.
	ErrUnlisted = eris.New("relaying host lists no such upstream")
	// ErrBusy reports that the host relays as many connections as it may, or none any more.
	ErrBusy = eris.New("host relays no further connections")
	// ErrRelay reports that the relaying host itself could not be used. An error of Dial that wraps it never wraps the
	// system's error, so that a relaying host that has ended does not look like an upstream that has.
	ErrRelay = eris.New("relaying host could not be used")
	// ErrBroken reports a tunnel that ended without the end of the upstream's connection: the relaying host ended or was
	// cut off. Such an error wraps neither io.EOF nor syscall.ECONNRESET.
	ErrBroken = eris.New("tunnel broke off")

	refusals = map[errorCode]refusal{
		codeRefused:     {http.StatusBadGateway, []error{ErrRefused, syscall.ECONNREFUSED}},
		codeUnreachable: {http.StatusGatewayTimeout, []error{ErrUnreachable}},
		codeUnlisted:    {http.StatusNotFound, []error{ErrUnlisted}},
		codeBusy:        {http.StatusServiceUnavailable, []error{ErrBusy}},
	}
)

type (
	// errorCode says in an answer why a host relays no connection.
	errorCode string

	// refusal is how a code is answered and which errors it stands for.
	refusal struct {
		status int
		causes []error
	}

	// dialError is an error of Dial; it wraps its causes.
	dialError struct {
		via      spoke.Address
		upstream spoke.UpstreamID
		// detail is part of the text only.
		detail error
		causes []error
	}

	// brokenError is the error of a tunnel that broke off. A wrapped cause would be found by errors.Is, and one that eris
	// wraps even by its text.
	brokenError struct {
		cause string
	}
)

// Error returns the way and the cause.
func (e *dialError) Error() string {
	return "detour to " + string(e.upstream) + " through " + string(e.via) + ": " + e.causes[0].Error() + ": " + e.detail.Error()
}

// Unwrap returns the causes.
func (e *dialError) Unwrap() []error { return e.causes }

// Error returns what happened to the tunnel.
func (e *brokenError) Error() string { return ErrBroken.Error() + ": " + e.cause }

// Unwrap returns ErrBroken.
func (*brokenError) Unwrap() error { return ErrBroken }
