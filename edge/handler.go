package edge

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
)

const (
	// defaultBody bounds a body while no limit is known.
	defaultBody = 8 << 20
	// retrySoon is the hint while the host does not know enough to answer.
	retrySoon = 300 * time.Millisecond
	// retryElsewhere is the hint while this host stops and others serve.
	retryElsewhere = 50 * time.Millisecond
	// streamTime and wholeTime are what a stopping host must have left for a call.
	streamTime = 4 * time.Second
	wholeTime  = 1500 * time.Millisecond
	// defaultWait is how long a caller waits that does not say so.
	defaultWait = 30 * time.Second
)

type (
	// relayer serves callers.
	relayer struct {
		known   *knowledge
		codec   spoke.RelayCodec
		planner *planner
		pool    *link.Pool
		marks   *marks
		// answers bounds the long answers that are held until they are whole.
		answers  *byteBudget
		log      logrus.FieldLogger
		metrics  *metrics
		numbers  atomic.Uint64
		underway atomic.Int64
		// stopAt is set while the host stops: callers use new connections, which reach other
		// hosts, and calls that would not end in time are turned away.
		stopAt atomic.Pointer[time.Time]
	}

	// exchange is one call of a caller and where its answer goes.
	exchange struct {
		*relayer
		call    *spoke.RelayedCall
		route   spoke.Route
		owner   spoke.KeyOwner
		arrived time.Time
		// giveUp is when the call gets its final answer, whatever happens.
		giveUp time.Time
		writer http.ResponseWriter
		log    logrus.FieldLogger
	}
)

// ServeHTTP answers one call.
func (h *relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h.underway.Add(1)
	defer h.underway.Add(-1)
	if h.stopAt.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	call, err := h.codec.DecodeCall(r)
	if err == nil && !strings.HasPrefix(call.Target, "/") {
		err = errors.New("the target is no path")
	}
	if err != nil {
		h.log.WithError(err).Warn("call refused: malformed")
		h.metrics.answered("", "malformed", arrived)
		writeError(w, http.StatusBadRequest, "bad-request", 0)
		return
	}
	e := &exchange{relayer: h, call: call, arrived: arrived, writer: w, log: h.log.WithField("request-id", call.Request)}
	if !e.resolve() {
		return
	}
	if !e.readBody(r) {
		return
	}
	e.serve(r.Context())
}

// resolve finds the route and the workspace of the call.
func (e *exchange) resolve() bool {
	table := e.known.table.Load()
	if table == nil {
		e.refuse(http.StatusServiceUnavailable, "not-ready", retrySoon, logrus.Fields{"knowledge-age": e.known.age().String()})
		return false
	}
	hostName := e.call.HostName
	if name, _, err := net.SplitHostPort(hostName); err == nil {
		hostName = name
	}
	route, ok := table.Find(hostName, e.call.Path)
	if !ok {
		e.refuseUnknown(http.StatusNotFound, "no-route", table.Version)
		return false
	}
	e.route = route
	if stopAt := e.stopAt.Load(); stopAt != nil && time.Until(*stopAt) < callTime(route) {
		e.refuse(http.StatusServiceUnavailable, "stopping", retryElsewhere, logrus.Fields{"left": time.Until(*stopAt).String()})
		return false
	}
	if table.NeedsKey(route) {
		if e.owner, ok = table.Owners[e.call.APIKey]; !ok {
			e.refuseUnknown(http.StatusUnauthorized, "unknown-key", table.Version)
			return false
		}
	}
	e.setTimes()
	return true
}

// callTime returns the time that a call of the route usually ends in.
func callTime(route spoke.Route) time.Duration {
	if route.Rule == spoke.RuleStream {
		return streamTime
	}
	return wholeTime
}

// refuseUnknown turns away what the table does not know; while a newer table may be in force
// elsewhere, the caller is asked to come back in place of being denied.
func (e *exchange) refuseUnknown(status int, reason string, version spoke.TableVersion) {
	fields := logrus.Fields{"table": version, "knowledge-age": e.known.age().String()}
	if e.known.isStale() {
		e.refuse(http.StatusServiceUnavailable, reason+"-stale", retrySoon, fields)
		return
	}
	e.refuse(status, reason, 0, fields)
}

func (e *exchange) setTimes() {
	wait := e.call.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	if e.route.Timeout > 0 {
		wait = min(wait, e.route.Timeout)
	}
	e.giveUp = e.arrived.Add(wait)
	if !e.route.IsResumable {
		e.call.LastEventID = ""
	}
}

// readBody reads the whole body, so that it can be sent without waiting for the caller.
func (e *exchange) readBody(r *http.Request) bool {
	limit := int64(defaultBody)
	if table := e.known.table.Load(); table.Limits.Body > 0 {
		limit = int64(table.Limits.Body)
	}
	if r.ContentLength > limit {
		e.refuse(http.StatusRequestEntityTooLarge, "too-large", 0, logrus.Fields{"length": r.ContentLength})
		return false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		e.log.WithError(err).Info("caller left before its request was read")
		e.metrics.answered(e.route.Name, "unread", e.arrived)
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > limit {
		e.refuse(http.StatusRequestEntityTooLarge, "too-large", 0, logrus.Fields{"length": len(body)})
		return false
	}
	e.call.Body = body
	return true
}
