package edge_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// served is the outcome of a call whose answer is whole.
	served = "served"
	// callInterval is the time between two calls of a kind at a host.
	callInterval = 100 * time.Millisecond
	// tryDeadline is the time that callers allow for a call.
	tryDeadline = 2 * time.Second
)

type (
	// firstTry is the outcome of a call that its caller does not repeat.
	firstTry struct {
		host    int
		at      time.Time
		outcome string
	}

	// firstTries makes calls at hosts and records their outcomes.
	firstTries struct {
		t     *testing.T
		hosts []cutOffHost
		mu    sync.Mutex
		all   []firstTry
		idle  [cutOffHosts][]*callerConn
	}

	// tally counts outcomes.
	tally map[string]int
)

// run makes calls of each kind at each host until the end, half of them on kept connections, and waits for their outcomes.
func (f *firstTries) run(end <-chan struct{}) {
	var loads sync.WaitGroup
	for host := range f.hosts {
		for kind, build := range map[string]func(string) call{"chat": chatCall, "quote": quoteCall, "book": bookCall, "look": lookCall} {
			loads.Go(func() { f.runKind(host, kind, build, end) })
		}
	}
	loads.Wait()
}

func (f *firstTries) runKind(host int, kind string, build func(string) call, end <-chan struct{}) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
			made := build(fmt.Sprintf("%s-%d-%d", kind, host, number))
			calls.Go(func() { f.try(host, made, number%2 == 0) })
		case <-end:
			return
		}
	}
}

// try makes a call on a new connection or a kept one and records its outcome.
func (f *firstTries) try(host int, made call, isKept bool) {
	request := f.hosts[host].request(made)
	request.Header.Set("Magnoliaspoke-Deadline-Ms", strconv.FormatInt(tryDeadline.Milliseconds(), 10))
	begun := time.Now()
	outcome := f.outcome(host, made, request, isKept)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, firstTry{host, begun, outcome})
}

func (f *firstTries) outcome(host int, made call, request *http.Request, isKept bool) string {
	caller, err := f.connection(host, isKept)
	if err != nil {
		return "connect: " + failureName(err)
	}
	isReusable := false
	defer func() {
		if !isReusable {
			_ = caller.conn.Close()
		}
	}()
	begun := time.Now()
	if err := caller.conn.SetDeadline(begun.Add(2 * tryDeadline)); err != nil {
		return failureName(err)
	}
	if err := request.Write(caller.conn); err != nil {
		return "request: " + failureName(err)
	}
	got := caller.receive(begun)
	if got.err != nil {
		return fmt.Sprintf("%d cut: %s", got.status, failureName(got.err))
	}
	if isKept && !got.closesConnection {
		isReusable = true
		f.mu.Lock()
		f.idle[host] = append(f.idle[host], caller)
		f.mu.Unlock()
	}
	if got.status != http.StatusOK {
		return fmt.Sprint(got.status, " ", errorCode(got.body))
	}
	isStream := strings.HasPrefix(made.id, "chat") || strings.HasPrefix(made.id, "quote")
	isWhole := got.body == wholeStream || (!isStream && strings.HasPrefix(got.body, "whole answer of i-"))
	assert.Check(f.t, isWhole, "answer to %s looks whole: %q", made.id, got.body)
	return served
}

// connection returns an idle connection or a new one.
func (f *firstTries) connection(host int, isKept bool) (*callerConn, error) {
	d := f.hosts[host].deployment
	f.mu.Lock()
	if last := len(f.idle[host]) - 1; isKept && last >= 0 {
		caller := f.idle[host][last]
		f.idle[host] = f.idle[host][:last]
		f.mu.Unlock()
		return caller, nil
	}
	f.mu.Unlock()
	conn, err := net.DialTimeout("tcp", string(d.settings.Caller), tryDeadline)
	if err != nil {
		return nil, err
	}
	return &callerConn{d: d, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func errorCode(body string) string {
	var failure struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &failure); err != nil {
		return body
	}
	return failure.Error.Code
}

func failureName(err error) string {
	for _, known := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, os.ErrDeadlineExceeded, io.ErrUnexpectedEOF, io.EOF} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return err.Error()
}

// between counts the outcomes of calls that were sent at the matching hosts within a time.
func (f *firstTries) between(from, until time.Time, matches func(host int) bool) tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(tally)
	for _, try := range f.all {
		if matches(try.host) && !try.at.Before(from) && try.at.Before(until) {
			counts[try.outcome]++
		}
	}
	return counts
}

func (c tally) sent() int {
	total := 0
	for _, count := range c {
		total += count
	}
	return total
}

// share returns the share of calls that were served.
func (c tally) share() float64 { return float64(c[served]) / float64(c.sent()) }

func (c tally) String() string {
	return fmt.Sprintf("%d of %d served %v", c[served], c.sent(), map[string]int(c))
}
