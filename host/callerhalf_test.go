package host_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke/fake/plain"
)

const (
	bookingPath   = "/services/booking/dispatches"
	authorization = "Authorization: Bearer " + apiKey + "\r\n"
	// runTime is the time that a booking takes.
	runTime = 500 * time.Millisecond
	// leaveLimit is the time within which a request of a caller that has left ends.
	leaveLimit = 500 * time.Millisecond
)

// open sends a request to the caller API of a host and returns its connection.
func (s *loopbackHost) open(t *testing.T, path, header, body string) *net.TCPConn {
	t.Helper()
	conn := s.openBody(t, path, authorization+header, len(body))
	send(t, conn, body)
	return conn
}

// readFinal returns the status and the body of the answer behind interim responses.
func readFinal(t *testing.T, conn net.Conn) (int, io.Reader) {
	t.Helper()
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		if response.StatusCode >= http.StatusOK {
			t.Cleanup(func() { _ = response.Body.Close() })
			return response.StatusCode, response.Body
		}
	}
}

// openRequests returns the number of open requests of a host.
func (s *loopbackHost) openRequests(t *testing.T) int {
	t.Helper()
	status, err := s.Administration().Status(context.Background())
	assert.NilError(t, err)
	return status.Host.Requests
}

// completionBody returns the body of a completion request of a number of tokens.
func completionBody(tokens int, isStream bool) string {
	return fmt.Sprintf(`{"model":"m0","prompt":"moon","max_tokens":%d,"stream":%t}`, tokens, isStream)
}

// Guards against a caller that closes its sending side behind its request, is taken for gone and gets no answer.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	p := startPair(t)
	p.bookings.SetFaults(plain.Faults{Delay: runTime})
	for _, c := range []struct {
		name, path, header, body string
		status                   int
		end                      string
	}{
		{"completion", completionsPath, "", completionBody(answerTokens, false), http.StatusOK, "}"},
		{"stream", completionsPath, "", completionBody(answerTokens, true), http.StatusOK, "data: [DONE]\n\n"},
		{"plain call", bookingPath, "", "one carton", http.StatusOK, ""},
		{"plain call with a key", bookingPath, "Idempotency-Key: a\r\n", "one carton", http.StatusOK, ""},
		{"refusal", bookingPath, "X-Spoke-Deadline-Ms: 300\r\n", "one carton", http.StatusGatewayTimeout, "}"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := p.servers[0].open(t, c.path, c.header, c.body)
			assert.NilError(t, conn.CloseWrite())
			status, answer := readFinal(t, conn)
			body, err := io.ReadAll(answer)
			assert.NilError(t, err)
			assert.Equal(t, status, c.status, "%s", body)
			assert.Assert(t, strings.HasSuffix(string(body), c.end), "%s", body)
		})
	}
}

// Guards against a stream that is cut because its caller closes its sending side behind the first event.
func TestHalfClosedCallerGetsWholeStream(t *testing.T) {
	conn := startPair(t).servers[0].open(t, completionsPath, "", completionBody(answerTokens, true))
	_, answer := readFinal(t, conn)
	_, err := io.ReadFull(answer, make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, conn.CloseWrite())
	rest, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), "%s", rest)
}

// Guards against requests that go on for callers that have closed their connections, since that looks like the end of
// their sending side.
func TestRequestEndsWhenCallerCloses(t *testing.T) {
	p := startPair(t)
	p.bookings.SetFaults(plain.Faults{Delay: 10 * runTime})
	for _, c := range []struct {
		name, path, body string
		hasBegun         bool
	}{
		{"completion", completionsPath, completionBody(20*answerTokens, false), false},
		{"stream", completionsPath, completionBody(20*answerTokens, true), true},
		{"plain call", bookingPath, "one carton", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := p.servers[0].open(t, c.path, "", c.body)
			p.wait("request not open", func() bool { return p.servers[0].openRequests(t) == 1 })
			if c.hasBegun {
				readFinal(t, conn)
			}
			assert.NilError(t, conn.Close())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.servers[0].openRequests(t) == 0 {
					return poll.Success()
				}
				return poll.Continue("request still open")
			}, poll.WithTimeout(leaveLimit), poll.WithDelay(5*time.Millisecond))
		})
	}
}
