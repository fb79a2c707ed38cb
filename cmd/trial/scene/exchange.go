package scene

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/ready"
)

const readSize = 4 << 10

type (
	// exchange is a request of a scenario with the part of its answer received so far.
	exchange struct {
		// ask is set for language requests, whose answers can be checked.
		ask        *load.Request
		workspace  spoke.WorkspaceID
		key        string
		credential string

		mu     sync.Mutex
		status int
		header http.Header
		body   bytes.Buffer
		done   bool
		err    error
	}

	// progress is a snapshot of an exchange.
	progress struct {
		status int
		header http.Header
		body   string
		done   bool
		err    error
	}
)

// send sends a request to the caller API of a host without waiting for the answer; expect refers
// to the request by its name.
func (s *scenario) send(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "send NAME HOST METHOD PATH [FILE] [HEADER:VALUE...]"
	checkArgs(ts, args, 4, math.MaxInt, usage)
	s.requireSetup(ts)
	name, host, method, path := args[0], args[1], args[2], args[3]
	address, err := s.address(host, ready.Caller)
	ts.Check(err)
	var body io.Reader
	rest := args[4:]
	if len(rest) > 0 && !strings.Contains(rest[0], ":") {
		body = strings.NewReader(ts.ReadFile(rest[0]))
		rest = rest[1:]
	}
	request, err := http.NewRequestWithContext(s.ctx, method, "http://"+string(address)+path, body)
	ts.Check(err)
	for _, text := range rest {
		key, value, found := strings.Cut(text, ":")
		if !found {
			ts.Fatalf("usage: %s", usage)
		}
		request.Header.Set(key, strings.TrimSpace(value))
	}
	s.launchExchange(ts, name, request, &exchange{})
}

func (e *exchange) run(request *http.Request) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		e.finish(err)
		return
	}
	defer response.Body.Close()
	e.mu.Lock()
	e.status, e.header = response.StatusCode, response.Header
	e.mu.Unlock()
	buffer := make([]byte, readSize)
	for {
		count, err := response.Body.Read(buffer)
		e.mu.Lock()
		e.body.Write(buffer[:count])
		e.mu.Unlock()
		if errors.Is(err, io.EOF) {
			e.finish(nil)
			return
		}
		if err != nil {
			e.finish(eris.Wrap(err, "read answer"))
			return
		}
	}
}

func (e *exchange) finish(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done, e.err = true, err
}

func (e *exchange) progress() progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{e.status, e.header, e.body.String(), e.done, e.err}
}
