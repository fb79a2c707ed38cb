package plain_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/plain"
)

const (
	attemptHeader = "X-Attempt-Id"
	// endOfConnection stands for the end of the connection in the bytes of an answer.
	endOfConnection = "<end>"
)

// scriptedService answers the requests of each connection with raw bytes; the last answer repeats.
type scriptedService struct {
	listener net.Listener
	// answer returns the bytes for a request of a connection, counted from 0.
	answer func(number int, r *http.Request) string
}

func startScripted(t *testing.T, answer func(number int, r *http.Request) string) spoke.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	service := &scriptedService{listener: listener, answer: answer}
	go service.serve()
	return spoke.Address(listener.Addr().String())
}

func (s *scriptedService) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *scriptedService) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		raw, _, isLast := strings.Cut(s.answer(number, request), endOfConnection)
		if _, err := io.WriteString(conn, raw); err != nil || isLast {
			return
		}
	}
}

// rawAnswer returns a response with the attempt in its body, and in its head if isNamed is set.
func rawAnswer(attempt string, isNamed bool) string {
	name := ""
	if isNamed {
		name = attemptHeader + ": " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(attempt), attempt)
}

// Guards against a caller who gets the answer of an earlier call: a service that sends an answer once more, late, where
// that of the next call on the connection is due. A refusal sent once more must not count as "not run".
func TestLateAnswerIsNotTakenForNextCall(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name string
		// late returns the bytes that stand before the answer to the second request of a connection.
		late    func(first string, isNamed bool) string
		isNamed bool
	}{
		{name: "whole", late: rawAnswer},
		{name: "refusal", late: func(first string, isNamed bool) string {
			return "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\n" + strings.SplitN(rawAnswer(first, isNamed), "\r\n", 2)[1]
		}},
		{name: "neither length nor chunks", late: func(first string, _ bool) string { return "HTTP/1.1 200 OK\r\n\r\n" + first + endOfConnection }},
		{name: "stops inside", late: func(first string, isNamed bool) string {
			return strings.TrimSuffix(rawAnswer(first, isNamed), first[1:]) + endOfConnection
		}},
		{name: "over 1 MB", late: func(_ string, isNamed bool) string { return rawAnswer(large, isNamed) }},
		{name: "no answer", late: func(string, bool) string { return large }},
	} {
		for _, isNamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, named %t", c.name, isNamed), func(t *testing.T) {
				first := ""
				at := startScripted(t, func(number int, r *http.Request) string {
					attempt := r.Header.Get(attemptHeader)
					answer := rawAnswer(attempt, isNamed)
					if number == 0 {
						first = attempt
						return answer
					}
					return c.late(first, isNamed) + answer
				})
				client := plain.NewClient()
				defer client.Close()
				for i := range 4 {
					attempt := spoke.AttemptID(fmt.Sprintf("r%d-1", i))
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					answer, err := client.Call(ctx, at, spoke.PlainCall{Attempt: attempt, Method: "GET", Path: "/"})
					if err != nil {
						assert.Assert(t, isNamed && !errors.Is(err, spoke.ErrNotRun), "call %d: %v", i, err)
						continue
					}
					assert.Equal(t, answer.Status, http.StatusOK)
					assert.Equal(t, string(answer.Body), string(attempt))
				}
			})
		}
	}
}

// Guards against answers that are lost since their service answers before it has read a long body and does not name calls.
func TestAnswerBeforeEndOfRequestIsWhole(t *testing.T) {
	for _, isFresh := range []bool{false, true} {
		t.Run(fmt.Sprintf("own connection %t", isFresh), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			body := make([]byte, 8<<20)
			received := make(chan int64, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh")
				count, _ := io.Copy(io.Discard, request.Body)
				received <- count
				_, _ = io.WriteString(conn, "ole")
			}()
			client := plain.NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, err := client.Call(ctx, spoke.Address(listener.Addr().String()), spoke.PlainCall{Attempt: "r-1", Method: "POST", Path: "/", Body: body, FreshConnection: isFresh})
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), "whole")
			assert.Equal(t, <-received, int64(len(body)))
		})
	}
}
