package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
	"magnoliaspoke.example/spoke/drain"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/guard"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

const (
	// defaultMaxBody is the limit of a request body if the configuration sets none.
	defaultMaxBody spoke.ByteSize = 8 << 20
	// minBodyTime is the time that a body has at least, however short the deadline of its call is.
	minBodyTime = time.Second
	// shortRetryAfter is the Retry-After if the configuration is missing or stale, or if no upstream
	// took the call.
	shortRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After while this host stops; a retry reaches another host.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultWait is the deadline of a call whose caller does not state one.
	defaultWait = 30 * time.Second
)

type (
	// relayer is the HTTP handler for callers.
	relayer struct {
		conf       *configState
		codec      spoke.RelayCodec
		planner    *planner
		pool       *link.Pool
		ways       *ways
		quarantine *quarantine
		parts      *partQuarantine
		origins    *origins
		listed     *listedUpstreams
		heard      *heardAnswers
		// leaveNotice is how long an upstream that leaves goes on serving.
		leaveNotice time.Duration
		// evacuations holds the data centres to which nothing is sent.
		evacuations *evacuations
		// answerMemory bounds the memory of large answers that are buffered until they are complete.
		answerMemory *fetch.Memory
		log          logrus.FieldLogger
		metrics      *metrics
		callNumbers  atomic.Uint64
		underWay     *callsUnderWay
		times        *callTimes
		// stop is set while the host stops: callers are asked to close their connections, so that new
		// ones reach other hosts, and calls that would not end in time are refused.
		stop atomic.Pointer[stopTimes]
		// requests ends the calls that are still under way at its end.
		requests *drain.Requests
	}

	// exchange is one call of a caller, with the writer of its answer.
	exchange struct {
		*relayer
		call  *spoke.RelayedCall
		route spoke.Route
		owner spoke.KeyOwner
		// table is the version by which the route and the workspace were found.
		table spoke.TableVersion
		// resumedSoftware is the software version at which a stream of an earlier call has to go on, empty for any.
		resumedSoftware spoke.SoftwareVersion
		// isOriginRecorded is set once the answer brings events of a stream whose origin is kept.
		isOriginRecorded bool
		arrived          time.Time
		// deadline is when the call gets its final answer at the latest.
		deadline time.Time
		// endsWithStop is set if the deadline is that of the stop of this host.
		endsWithStop bool
		// callerTime is the time for which the caller waits.
		callerTime callerTime
		writer     http.ResponseWriter
		// hasReadBody is set once the body was read to its end or to its limit, so that the caller sends all of it.
		hasReadBody bool
		// awaitsConsent is set if the caller sends its body only once the host reads it.
		awaitsConsent bool
		state         *callState
		// isAnswered is set once the caller has a complete answer of an upstream that did not fail.
		isAnswered bool
		// isPassedOn is set once an upstream may have received the call.
		isPassedOn bool
		log        logrus.FieldLogger
	}
)

// ServeHTTP answers one call.
func (h *relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	answer := &answerWriter{ResponseWriter: w}
	e := &exchange{relayer: h, arrived: arrived, writer: answer, log: h.log}
	defer e.recoverAnswer(answer, r)
	caller.AllowEarlyAnswer(w)
	if h.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	// The call takes the header over.
	e.awaitsConsent = r.Header.Get("Expect") != ""
	call, err := h.codec.DecodeCall(r)
	if err == nil && !strings.HasPrefix(call.Target, "/") {
		err = errors.New("request target does not begin with a slash")
	}
	if err != nil {
		h.log.WithError(err).Warn("call refused: malformed")
		h.metrics.addAnswer("", "malformed", arrived)
		writeError(answer, http.StatusBadRequest, "bad-request", 0)
		h.discardBody(w, r, arrived.Add(defaultWait), !e.awaitsConsent)
		return
	}
	e.call, e.log = call, h.log.WithField("request-id", call.Request)
	if !e.reserveParts(r) || !e.resolve() {
		e.discardRest(r)
		return
	}
	e.state = h.underWay.add(call.Request, e.route.Name, place.OutputSize(e.prompt()), arrived)
	defer e.end()
	// The body may have taken long to arrive.
	if !e.readBody(r) || e.refuseStopping() {
		e.discardRest(r)
		return
	}
	h.underWay.recordReceipt(e.state)
	e.callerTime.begin(e.arrived, e.route.CallerTimeout, e.call.Timeout)
	ctx, stop := caller.Watch(r, e.callerTime.isOver)
	defer stop()
	e.serve(ctx)
}

// resolve looks up the route and the workspace of the call and sets its deadline. It refuses the call and
// returns false if one of them is missing or this host stops too soon.
func (e *exchange) resolve() bool {
	table := e.conf.servedTable()
	if table == nil {
		e.refuse(http.StatusServiceUnavailable, "not-ready", shortRetryAfter, logrus.Fields{"knowledge-age": e.conf.age().String()})
		return false
	}
	route, ok := e.findRoute(table)
	if !ok {
		e.refuseUnknown(http.StatusNotFound, "no-route", table.Version)
		return false
	}
	e.route, e.table = route, table.Version
	if table.NeedsKey(route) {
		if e.owner, ok = table.Owners[e.call.APIKey]; !ok {
			e.refuseUnknown(http.StatusUnauthorized, "unknown-key", table.Version)
			return false
		}
	}
	e.setDeadline()
	return !e.refuseHomeless() && !e.refuseStopping()
}

func (e *exchange) findRoute(table *spoke.RoutingTable) (spoke.Route, bool) {
	hostName := e.call.HostName
	if name, _, err := net.SplitHostPort(hostName); err == nil {
		hostName = name
	}
	return table.Find(hostName, e.call.Path)
}

// refuseUnknown refuses a call whose route or key is not in the table. If a newer table may be in
// force elsewhere, the caller is asked to retry rather than denied.
func (e *exchange) refuseUnknown(status int, reason string, version spoke.TableVersion) {
	fields := logrus.Fields{"table": version, "knowledge-age": e.conf.age().String()}
	if e.conf.mayMissChanges() {
		e.refuse(http.StatusServiceUnavailable, reason+"-stale", shortRetryAfter, fields)
		return
	}
	e.refuse(status, reason, 0, fields)
}

// setDeadline sets the deadline of the call, and drops its resume position if streams of the route
// cannot be resumed.
func (e *exchange) setDeadline() {
	wait := e.call.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	if e.route.Timeout > 0 {
		wait = min(wait, e.route.Timeout)
	}
	e.deadline = e.arrived.Add(wait)
	if stop := e.stop.Load(); stop != nil && stop.endsAt.Before(e.deadline) {
		e.deadline, e.endsWithStop = stop.endsAt, true
	}
	if !e.route.IsResumable {
		e.call.LastEventID = ""
	}
}

// readBody reads the whole body, so that attempts can send it without waiting for the caller. It refuses
// the call and returns false if the body is too large, or if there is no memory for it at present.
func (e *exchange) readBody(r *http.Request) bool {
	limit := defaultMaxBody
	if table := e.conf.table.Load(); table.Limits.Body > 0 {
		limit = table.Limits.Body
	}
	if spoke.ByteSize(r.ContentLength) > limit {
		e.refuse(http.StatusRequestEntityTooLarge, "too-large", 0, logrus.Fields{"length": r.ContentLength})
		return false
	}
	e.hasReadBody = true
	if r.ContentLength != 0 {
		// Callers that stop in the middle would hold their memory for good. The server lifts the deadline at the end of the
		// body; without a body, it watches for the end of the connection already. Errors show when the body is read.
		_ = http.NewResponseController(e.writer).SetReadDeadline(maxTime(e.deadline, e.arrived.Add(minBodyTime)))
	}
	defer e.endReadWithStop()()
	body, err := guard.CallOf(r).ReadBody(r.Body, spoke.ByteSize(r.ContentLength), limit)
	switch {
	case errors.Is(err, fetch.ErrTooLong):
		e.refuse(http.StatusRequestEntityTooLarge, "too-large", 0, logrus.Fields{"limit": limit})
		return false
	case errors.Is(err, fetch.ErrMemory):
		e.refuse(http.StatusServiceUnavailable, "body-memory", e.capRetryAfter(shortRetryAfter), logrus.Fields{"length": r.ContentLength})
		return false
	case err != nil && e.refuseStopping():
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.refuse(http.StatusRequestTimeout, "body-timeout", 0, logrus.Fields{"length": r.ContentLength})
		return false
	case err != nil:
		e.log.WithError(err).Info("caller left before its request was read")
		e.metrics.addAnswer(e.route.Name, "unread", e.arrived)
		panic(http.ErrAbortHandler)
	}
	e.call.Body = body
	return true
}
