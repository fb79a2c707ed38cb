package host_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fake/plain"
)

// Guards against a drain that resets a keep-alive connection on which a request is arriving:
// the server counts such a connection as idle until it has read the whole request header.
func TestDrainAnswersArrivingRequest(t *testing.T) {
	leaving := startPair(t).servers[1]
	conn, err := net.Dial("tcp", leaving.listeners.Caller.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	responses := bufio.NewReader(conn)
	const head = "GET /ready HTTP/1.1\r\nHost: entry\r\n"
	send(t, conn, head+"\r\n")
	_, isLast := readResponse(t, responses)
	assert.Assert(t, !isLast)

	send(t, conn, head)
	leaving.AnnounceDrain(context.Background())
	send(t, conn, "\r\n")

	status, isLast := readResponse(t, responses)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, isLast, "a draining host keeps the connection open")
}

// Guards against requests that a draining host reads and drops without an answer, on a connection that was accepted
// before its listener closed.
func TestDrainAnswersAcceptedConnection(t *testing.T) {
	p := startPair(t)
	leaving := p.servers[1]
	conn, err := net.Dial("tcp", leaving.listeners.Caller.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	held := p.holdBooking(leaving, time.Second)
	leaving.startDrain()
	p.wait("closed caller listener", leaving.refusesConnections)
	send(t, conn, "GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n")
	status, isLast := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, isLast)
	assert.Equal(t, <-held, http.StatusOK)
}

// Guards against calls that may not be repeated and whose connection a draining host closes without an answer, because
// they last longer than the drain.
func TestDrainAnswersCallsThatDoNotEnd(t *testing.T) {
	p := startPairWithDeadline(t, 800*time.Millisecond)
	leaving := p.servers[1]
	held := p.holdBooking(leaving, 3*time.Second)
	leaving.startDrain()
	assert.Equal(t, <-held, http.StatusGatewayTimeout)
}

// Guards against calls that a draining host passes on although it may end before them: they come on connections that were
// accepted before its listener closed, and their callers would reach another host with the next connection.
func TestDrainRefusesLateCallsWithoutBound(t *testing.T) {
	p := startPairWithDeadline(t, 3*time.Second)
	leaving := p.servers[1]
	held := p.holdBooking(leaving, 2*time.Second)
	var kept [2]net.Conn
	for i := range kept {
		conn, err := net.Dial("tcp", leaving.listeners.Caller.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		kept[i] = conn
	}
	leaving.startDrain()
	p.wait("closed caller listener", leaving.refusesConnections)
	p.bookings.SetFaults(plain.Faults{})
	const head = "POST /services/booking/dispatches HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + apiKey + "\r\nContent-Length: 3\r\n"
	send(t, kept[0], head+"Idempotency-Key: late\r\nX-Spoke-Deadline-Ms: 30000\r\n\r\none")
	status, isLast := readResponse(t, bufio.NewReader(kept[0]))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, isLast)
	assert.Equal(t, p.bookings.Runs().Total, 1)
	send(t, kept[1], head+"Idempotency-Key: bounded\r\nX-Spoke-Deadline-Ms: 1000\r\n\r\none")
	status, _ = readResponse(t, bufio.NewReader(kept[1]))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, <-held, http.StatusOK)
}

// holdBooking starts a call that may not be repeated and takes the given time, waits until it is sent, and returns the
// channel for its status.
func (p *hostPair) holdBooking(at *loopbackHost, lasts time.Duration) <-chan int {
	p.t.Helper()
	p.bookings.SetFaults(plain.Faults{Delay: lasts})
	held := make(chan int, 1)
	go func() { held <- at.book(p.t, "held") }()
	p.wait("booking not sent", func() bool { return p.bookings.Runs().Total == 1 })
	return held
}

// book sends a call that may not be repeated and returns its status, zero if there was no answer.
func (s *loopbackHost) book(t *testing.T, key string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.listeners.Caller.Addr().String()+"/services/booking/dispatches", strings.NewReader("one carton"))
	assert.Check(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Check(t, err)
	return resp.StatusCode
}

// refusesConnections reports whether the host no longer listens for callers.
func (s *loopbackHost) refusesConnections() bool {
	conn, err := net.Dial("tcp", s.listeners.Caller.Addr().String())
	if err == nil {
		_ = conn.Close()
	}
	return err != nil
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// readResponse returns the status of the next response and whether it closes the connection.
func readResponse(t *testing.T, reader *bufio.Reader) (status int, isLast bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, response.Close
}
