package detour

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

const (
	// answerTimeout is longer than the time in which the relaying host connects to the upstream.
	answerTimeout = upstreamTimeout + 300*time.Millisecond
	// maxHeadBytes bounds the head of the relaying host's answer.
	maxHeadBytes = 4 << 10
)

// Dialer connects to upstreams through other hosts; it is safe for concurrent use.
type Dialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns a dialer; timeout bounds the time to connect to the relaying host. That then has a second to answer
// whether it has connected to the upstream.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{dial: dial.New(timeout).DialContext}
}

// Dial returns a connection to an upstream through the host at the address of its port for other hosts. It is a *Conn. The
// errors are ErrRefused, ErrUnreachable, ErrUnlisted, ErrBusy and, if the relaying host itself could not be used, ErrRelay;
// if ctx has ended, they also wrap its error.
func (d *Dialer) Dial(ctx context.Context, via spoke.Address, upstream spoke.UpstreamID) (net.Conn, error) {
	failure := func(detail error, causes ...error) error {
		if err := ctx.Err(); err != nil {
			causes = append(causes, err)
		}
		return &dialError{via: via, upstream: upstream, detail: detail, causes: causes}
	}
	raw, err := d.dial(ctx, "tcp", string(via))
	if err != nil {
		return nil, failure(err, ErrRelay)
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, failure(eris.Errorf("connection is a %T", raw), ErrRelay)
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	conn, causes, err := open(tcp, via, upstream)
	if !stop() && err == nil {
		err, causes = ctx.Err(), []error{ErrRelay}
	}
	if err != nil {
		_ = tcp.Close()
		return nil, failure(err, causes...)
	}
	return conn, nil
}

// open asks the host at the other end of the connection for a detour; with an error, it returns the errors that this stands
// for.
func open(tcp *net.TCPConn, via spoke.Address, upstream spoke.UpstreamID) (*Conn, []error, error) {
	relayFailed := []error{ErrRelay}
	if err := tcp.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, relayFailed, err
	}
	request := "GET " + Path + "?" + upstreamParameter + "=" + url.QueryEscape(string(upstream)) + " HTTP/1.1\r\n" +
		"Host: " + string(via) + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := io.WriteString(tcp, request); err != nil {
		return nil, relayFailed, err
	}
	limited := &io.LimitedReader{R: tcp, N: maxHeadBytes}
	reader := bufio.NewReaderSize(limited, readBufferBytes)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, relayFailed, err
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusSwitchingProtocols && response.Header.Get("Upgrade") == protocol {
		limited.N = math.MaxInt64
		return newConn(tcp, reader), nil, tcp.SetDeadline(time.Time{})
	}
	err = eris.Errorf("answer with status %d", response.StatusCode)
	if known, ok := refusals[errorCode(response.Header.Get(errorHeader))]; ok {
		return nil, known.causes, err
	}
	return nil, relayFailed, err
}
