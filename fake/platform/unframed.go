package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// UnframedAnswer is a response with neither a length nor chunks, which ends with its connection.
type UnframedAnswer struct {
	// Head is the status line and the header fields that concern the connection, without line ends.
	Head []string
	// Body is sent to requests that begin a run. Requests that resume a stream get all its missing events.
	Body string
	// IsReset resets the connection after the body in place of closing it.
	IsReset bool
	// StaysOpen leaves the connection open after the body until the process ends.
	StaysOpen bool
	// IgnoresLastEvent sends the body to requests that resume a stream, too.
	IgnoresLastEvent bool
	// OnSent, if set, is called after the body was sent to a request that begins a run.
	OnSent func()
	// Continue, if set, is awaited before the rest is sent and the connection ends.
	Continue <-chan struct{}
	// Rest follows the body, then AfterRest is called once the connection has ended, or stays open.
	Rest      string
	AfterRest func()
}

// SetUnframedAnswer sets the response to the following requests.
func (e *Engine) SetUnframedAnswer(answer UnframedAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour, e.unframed = Unframed, answer
}

// WholeStream returns all events of a stream after the given event; the first has the number 1.
func WholeStream(after, events int) string {
	var stream strings.Builder
	for id := after + 1; id <= events; id++ {
		fmt.Fprintf(&stream, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return stream.String()
}

func (e *Engine) writeUnframed(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	answer := e.unframed
	e.mu.Unlock()
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil && !answer.IgnoresLastEvent {
		answer.Body, answer.IsReset, answer.StaysOpen, answer.OnSent = WholeStream(after, e.events), false, false, nil
		answer.Continue = nil
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	head := slices.Concat(answer.Head, []string{headerRequestID + ": " + r.Header.Get(headerRequestID), headerServerStamp + ": " + stampPrefix + e.ID})
	_, _ = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+answer.Body)
	if answer.OnSent != nil {
		answer.OnSent()
	}
	if answer.Continue != nil {
		<-answer.Continue
		_, _ = io.WriteString(conn, answer.Rest)
		defer answer.AfterRest()
	}
	if answer.StaysOpen {
		return
	}
	if answer.IsReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}
