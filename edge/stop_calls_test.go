package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	shortGrace = 5 * time.Second
	// soonTime bounds the answer to a call that is refused at once.
	soonTime = 500 * time.Millisecond
)

type (
	// callerConn is a connection of a caller that keeps it open.
	callerConn struct {
		d      *deployment
		conn   net.Conn
		reader *bufio.Reader
	}

	// stopResult is what a caller got and when.
	stopResult struct {
		answer
		err  error
		took time.Duration
	}
)

func (d *deployment) dial() *callerConn {
	d.t.Helper()
	conn, err := net.Dial("tcp", string(d.settings.Caller))
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{d: d, conn: conn, reader: bufio.NewReader(conn)}
}

// send makes a call whose caller waits for longer than the host takes to stop.
func (c *callerConn) send(sent call) stopResult {
	c.d.t.Helper()
	return c.sendWithin(sent, 30*time.Second)
}

// sendWithin makes a call with a deadline.
func (c *callerConn) sendWithin(sent call, deadline time.Duration) stopResult {
	c.d.t.Helper()
	request := c.d.request(sent)
	request.Header.Set("Magnoliaspoke-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	begun := time.Now()
	if err := request.Write(c.conn); err != nil {
		return stopResult{err: err, took: time.Since(begun)}
	}
	return c.receive(begun)
}

func (c *callerConn) receive(begun time.Time) stopResult {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return stopResult{err: err, took: time.Since(begun)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return stopResult{answer{response.StatusCode, response.Header, response.Close, string(body)}, err, time.Since(begun)}
}

// startLong runs a host whose routes permit calls of 30 s.
func startLong(t *testing.T, grace time.Duration) *deployment {
	t.Helper()
	d := startWithGrace(t, 1, grace)
	d.putLongTable()
	return d
}

// putLongTable publishes routes that permit calls of 30 s.
func (d *deployment) putLongTable() {
	next := table(2, "key-2")
	for _, route := range next["routes"].([]any) {
		route.(map[string]any)["timeout-ms"] = 30000
		route.(map[string]any)["target-latency-ms"] = 3000
	}
	d.store.Put("op/config", next)
	awaitTrue(d.t, "new table not known", func() bool { return d.bookingStatus("probe", "key-2") == http.StatusOK })
}

func longCall(c call) call {
	c.key = "key-2"
	return c
}

// stopAt sends SIGTERM and returns a function that waits until a time after it.
func (d *deployment) stopAt() (begun time.Time, await func(time.Duration)) {
	begun = time.Now()
	d.signals <- syscall.SIGTERM
	return begun, func(after time.Duration) {
		awaitTrue(d.t, "the time has not come", func() bool { return time.Since(begun) >= after })
	}
}

func (d *deployment) awaitEnd(begun time.Time, grace time.Duration) {
	d.t.Helper()
	assert.NilError(d.t, <-d.ended)
	assert.Assert(d.t, time.Since(begun) < grace, "took %s", time.Since(begun))
}

func checkNotRun(t testing.TB, got stopResult, name string) {
	t.Helper()
	assert.Check(t, got.err, name)
	assert.Check(t, got.status == http.StatusServiceUnavailable, "%s: status %d", name, got.status)
	assert.Check(t, strings.Contains(got.body, "not-run"), "%s: %s", name, got.body)
	assert.Check(t, got.header.Get("Retry-After") != "", name)
}

// Guards against calls that come late in a stop, are passed on although calls of their route take longer than what is
// left, and are cut without an answer.
func TestStoppingHostRefusesCallsThatTakeLongerThanItHas(t *testing.T) {
	d := startLong(t, shortGrace)
	d.engines[0].SetAnswerDelay(2500 * time.Millisecond)
	calls := []call{longCall(bookCall("book")), longCall(lookCall("look"))}
	kept := []*callerConn{d.dial(), d.dial()}
	var callers sync.WaitGroup
	for i, c := range calls {
		callers.Go(func() {
			status := kept[i].send(c).status
			assert.Check(t, status == http.StatusOK, "%s: %d", c.path, status)
		})
	}
	callers.Wait()
	runs := d.runs()
	begun, await := d.stopAt()
	await(1800 * time.Millisecond)
	for i, c := range calls {
		for name, conn := range map[string]*callerConn{"kept": kept[i], "new": d.dial()} {
			got := conn.send(c)
			checkNotRun(t, got, name+c.path)
			assert.Assert(t, got.took < soonTime, "%s connection, %s took %s", name, c.path, got.took)
		}
	}
	assert.Equal(t, d.runs(), runs)
	d.awaitEnd(begun, shortGrace)
}

// Guards against streams that a stopping host takes without knowing that they end in time, and cuts.
func TestStoppingHostRefusesStreamsOfUnknownLength(t *testing.T) {
	const grace = 8 * time.Second
	d := startLong(t, grace)
	d.engines[0].SetEventInterval(1700 * time.Millisecond)
	begun, await := d.stopAt()
	await(500 * time.Millisecond)
	for _, c := range []call{chatCall("chat"), quoteCall("quote")} {
		got := d.dial().send(longCall(c))
		checkNotRun(t, got, c.path)
		assert.Assert(t, got.took < soonTime, "%s took %s", c.path, got.took)
	}
	d.awaitEnd(begun, grace)
}

// sendPart sends a call with the first part of its body.
func (c *callerConn) sendPart(sent call, part string) {
	c.d.t.Helper()
	request := c.d.request(sent)
	request.Header.Set("Magnoliaspoke-Deadline-Ms", "30000")
	var message strings.Builder
	assert.NilError(c.d.t, request.Write(&message))
	head, _, _ := strings.Cut(message.String(), "\r\n\r\n")
	_, err := io.WriteString(c.conn, head+"\r\n\r\n"+part)
	assert.NilError(c.d.t, err)
}

// Guards against a call that is passed on late in a stop because it was checked before its slow body arrived.
func TestStoppingHostChecksTimeAfterBody(t *testing.T) {
	d := startLong(t, shortGrace)
	d.engines[0].SetAnswerDelay(1500 * time.Millisecond)
	assert.Equal(t, d.dial().send(longCall(bookCall("shown"))).status, http.StatusOK)
	runs := d.runs()
	slow := d.dial()
	slow.sendPart(longCall(bookCall("slow")), "one car")
	begun, await := d.stopAt()
	await(3 * time.Second)
	_, err := io.WriteString(slow.conn, "ton")
	assert.NilError(t, err)
	sentAt := time.Now()
	got := slow.receive(sentAt)
	checkNotRun(t, got, "slow")
	assert.Assert(t, got.took < soonTime, "took %s", got.took)
	assert.Equal(t, d.runs(), runs)
	d.awaitEnd(begun, shortGrace)
}

// Guards against a stream that is cut before the end of the grace period, or that looks whole although it was cut.
func TestStoppingHostCutsBegunStreamAtEnd(t *testing.T) {
	d := startLong(t, shortGrace)
	d.engines[0].SetEventInterval(time.Minute)
	cut := make(chan stopResult, 1)
	go func() { cut <- d.dial().send(longCall(quoteCall("held"))) }()
	awaitTrue(t, "stream not begun", func() bool { return d.hasLogged("stream began") })
	begun, _ := d.stopAt()
	got := <-cut
	assert.Assert(t, time.Since(begun) > 3500*time.Millisecond, "cut after %s", time.Since(begun))
	assert.ErrorContains(t, got.err, "unexpected EOF")
	assert.Equal(t, got.body, "id: 1\ndata: piece 1\n\n")
	d.awaitEnd(begun, shortGrace)
}

// Guards against requests that a stopping host reads and drops without an answer, because it has closed its listener:
// on a connection that was accepted before, and on a kept one with a request that is still arriving.
func TestStoppingHostAnswersAcceptedConnections(t *testing.T) {
	d := startLong(t, shortGrace)
	d.engines[0].SetEventInterval(900 * time.Millisecond)
	kept, unread, open := d.dial(), d.dial(), make(chan stopResult, 1)
	for range 2 {
		assert.Equal(t, kept.send(longCall(lookCall("shown"))).status, http.StatusOK)
	}
	go func() { open <- d.dial().send(longCall(quoteCall("open"))) }()
	awaitTrue(t, "stream not begun", func() bool { return d.hasLogged("stream began") })
	begun, _ := d.stopAt()
	const head = "GET /look/1 HTTP/1.1\r\nHost: " + hostName + "\r\nAuthorization: Bearer key-2\r\n"
	_, err := io.WriteString(kept.conn, head)
	assert.NilError(t, err)
	awaitTrue(t, "still listening", func() bool {
		conn, err := net.Dial("tcp", string(d.settings.Caller))
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	got := unread.send(longCall(lookCall("unread")))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	_, err = io.WriteString(kept.conn, "Magnoliaspoke-Request-Id: kept\r\n\r\n")
	assert.NilError(t, err)
	got = kept.receive(time.Now())
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closesConnection)
	assert.NilError(t, (<-open).err)
	d.awaitEnd(begun, shortGrace)
}

// Guards against a stop that a second SIGTERM or a SIGHUP cuts short.
func TestFurtherSignalsDoNotCutStopShort(t *testing.T) {
	d := startLong(t, shortGrace)
	d.engines[0].SetEventInterval(700 * time.Millisecond)
	whole := make(chan stopResult, 1)
	go func() { whole <- d.dial().send(longCall(quoteCall("open"))) }()
	awaitTrue(t, "stream not begun", func() bool { return d.hasLogged("stream began") })
	begun, await := d.stopAt()
	await(100 * time.Millisecond)
	d.signals <- syscall.SIGTERM
	d.signals <- syscall.SIGHUP
	got := <-whole
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wholeStream)
	d.awaitEnd(begun, shortGrace)
}

// Guards against calls under way whose connections are closed without an answer at the end of a stop: those that an
// engine has, streams without an event, those that wait for an engine and those whose body is still arriving.
func TestStoppingHostAnswersCallsThatDoNotEnd(t *testing.T) {
	const streams = 12
	d := startLong(t, shortGrace)
	before := d.runs()
	d.setBehaviour(fake.Hang)
	calls := []call{longCall(bookCall("book")), longCall(lookCall("look"))}
	for number := range streams {
		calls = append(calls, longCall(quoteCall(fmt.Sprintf("stream-%d", number))))
	}
	results := make([]stopResult, len(calls))
	var callers sync.WaitGroup
	for i, c := range calls {
		conn := d.dial()
		callers.Go(func() { results[i] = conn.send(c) })
	}
	arriving := d.dial()
	arriving.sendPart(longCall(bookCall("arriving")), "one car")
	awaitTrue(t, "calls not sent", func() bool { return d.hasRun("book") && d.hasRun("look") && d.runs() > before+2 })
	begun, _ := d.stopAt()
	checkNotRun(t, arriving.receive(begun), "arriving")
	callers.Wait()
	waited := 0
	for i, c := range calls {
		d.checkEnded(c.id, results[i])
		if !d.hasRun(c.id) {
			waited++
		}
	}
	assert.Check(t, waited > 0, "no call waits for an engine")
	d.awaitEnd(begun, shortGrace)
	assert.Assert(t, !d.hasLogged("call cut off"))
	assert.Assert(t, d.hasLogged(`"ended-by":"stop"`), "no line names the stop")
}

// Guards against a process that exceeds its grace period, or drops answers, because many calls end at once: most of
// them wait, since the engine answers none.
func TestManyCallsEndWithinGrace(t *testing.T) {
	const grace, count = 8 * time.Second, 200
	d := startLong(t, grace)
	before := d.runs()
	d.setBehaviour(fake.Hang)
	results := make([]stopResult, count)
	var callers sync.WaitGroup
	for number := range count {
		conn := d.dial()
		callers.Go(func() { results[number] = conn.send(longCall(bookCall(fmt.Sprintf("held-%d", number)))) })
	}
	awaitTrue(t, "no call sent", func() bool { return d.runs() > before })
	begun, _ := d.stopAt()
	d.awaitEnd(begun, grace)
	callers.Wait()
	for number, got := range results {
		d.checkEnded(fmt.Sprintf("held-%d", number), got)
	}
	assert.Assert(t, !d.hasLogged("call cut off"))
}

// checkEnded checks the answer to a call that did not end before the stop did.
func (d *deployment) checkEnded(id string, got stopResult) {
	d.t.Helper()
	if !d.hasRun(id) {
		checkNotRun(d.t, got, id)
		return
	}
	assert.Check(d.t, got.err, id)
	assert.Check(d.t, got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, "%s: status %d", id, got.status)
	assert.Check(d.t, strings.Contains(got.body, "outcome-unknown"), "%s: %s", id, got.body)
}

// hasRun reports whether an engine has started to run a request.
func (d *deployment) hasRun(id string) bool {
	return slices.ContainsFunc(d.engines[0].Runs(), func(run fake.Run) bool { return run.ID == id })
}

// Guards against streams that are passed on late in a stop, because all before them were short, and are broken off at its
// end: no connection is new by then, so that only the call's own deadline is a bound.
func TestStoppingHostRefusesLateStreamsThatWereShort(t *testing.T) {
	const grace = 8 * time.Second
	d := startLong(t, grace)
	for number := range 20 {
		assert.Equal(t, d.dial().send(longCall(quoteCall(fmt.Sprint("short-", number)))).status, http.StatusOK)
	}
	d.engines[0].SetEventInterval(1200 * time.Millisecond)
	kept, other, open := d.dial(), d.dial(), make(chan stopResult, 1)
	for _, conn := range []*callerConn{kept, other} {
		assert.Equal(t, conn.send(longCall(lookCall("kept"))).status, http.StatusOK)
	}
	go func() { open <- d.dial().send(longCall(quoteCall("open"))) }()
	awaitTrue(t, "stream not begun", func() bool { return d.hasRun("open") })
	begun, await := d.stopAt()
	await(2700 * time.Millisecond)
	got := kept.send(longCall(quoteCall("late")))
	checkNotRun(t, got, "late")
	assert.Assert(t, got.took < soonTime, "took %s", got.took)
	assert.Assert(t, !d.hasRun("late"))
	got = other.sendWithin(longCall(bookCall("bounded")), 1500*time.Millisecond)
	assert.Check(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	got = <-open
	assert.Check(t, got.err)
	assert.Equal(t, got.body, wholeStream)
	d.awaitEnd(begun, grace)
}

// Guards against streams that are passed on late in a stop, because they arrived before it and waited for an engine, and
// are broken off at its end.
func TestStoppingHostRefusesWaitingStreamsThatCannotEnd(t *testing.T) {
	const grace, streams = 8 * time.Second, 12
	d := startLong(t, grace)
	release := d.engines[0].Hold(1)
	results := make([]stopResult, streams)
	var callers sync.WaitGroup
	for number := range streams {
		conn := d.dial()
		callers.Go(func() { results[number] = conn.send(longCall(quoteCall(fmt.Sprint("stream-", number)))) })
	}
	awaitTrue(t, "no stream begun", func() bool { return d.hasLogged("stream began") })
	begun, await := d.stopAt()
	await(4 * time.Second)
	// Streams that have begun end after 2 s, those that begin then would end after the grace period.
	d.engines[0].SetEventInterval(500 * time.Millisecond)
	release()
	callers.Wait()
	refused := 0
	for number, got := range results {
		if d.hasRun(fmt.Sprint("stream-", number)) {
			assert.Check(t, got.err, number)
			assert.Check(t, got.body == wholeStream, "%d: %s", number, got.body)
			continue
		}
		refused++
		checkNotRun(t, got, fmt.Sprint(number))
	}
	assert.Check(t, refused > 0, "no stream waits for an engine")
	d.awaitEnd(begun, grace)
}
