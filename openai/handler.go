package openai

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
	"magnoliaspoke.example/spoke/drain"
)

const (
	// defaultBodyLimit is the default limit of request bodies.
	defaultBodyLimit spoke.ByteSize = 8 << 20
	// defaultHeaderLimit is the default limit of the total size of header names and values.
	defaultHeaderLimit spoke.ByteSize = 64 << 10
	// defaultMaxTokens is the default token limit of requests that set none.
	defaultMaxTokens spoke.TokenCount = 1024
	// defaultWriteTimeout is the default time limit for writing one part of a response.
	defaultWriteTimeout = 10 * time.Second

	// hostEndsRetryAfter is the Retry-After of a host that ends; a retry reaches another host.
	hostEndsRetryAfter = time.Second

	// panicRetryAfter is the Retry-After of a request whose handler panicked before the request was passed on.
	panicRetryAfter = time.Second

	requestIDHeader = "X-Request-Id"
)

type (
	// Handler serves the caller API.
	Handler struct {
		backend      spoke.Backend
		manifests    spoke.ManifestSource
		mux          *http.ServeMux
		workspaces   workspaceIndex
		inProgress   requestCounter
		bodyLimit    spoke.ByteSize
		headerLimit  spoke.ByteSize
		maxTokens    spoke.TokenCount
		writeTimeout time.Duration
		now          func() time.Time
		newID        func() spoke.RequestID
		// endOfRequests returns when requests end at the latest because the host stops, zero while it does not.
		endOfRequests func() time.Time
		log           logrus.FieldLogger
	}

	// Option changes a setting of a Handler.
	Option func(*Handler)

	// exchange is one request of a caller and its response.
	exchange struct {
		*Handler
		w         http.ResponseWriter
		r         *http.Request
		id        spoke.RequestID
		received  time.Time
		manifest  *spoke.Manifest
		workspace spoke.Workspace
		deadline  time.Time
		// bodyDeadline is when the body must have been read.
		bodyDeadline time.Time
		// hasAwaitedBody is set once the body is read from, so that the caller sends it.
		hasAwaitedBody bool
		// hasReadBody is set once the body was read to its end.
		hasReadBody bool
		// isPassedOn is set once the backend may have run the request.
		isPassedOn bool
		// hasBegun is set once the answer has begun.
		hasBegun bool
	}
)

// New returns a handler of the caller API that sends requests to the backend and takes its
// configuration from manifests.
func New(backend spoke.Backend, manifests spoke.ManifestSource, opts ...Option) *Handler {
	h := &Handler{
		backend:      backend,
		manifests:    manifests,
		mux:          http.NewServeMux(),
		bodyLimit:    defaultBodyLimit,
		headerLimit:  defaultHeaderLimit,
		maxTokens:    defaultMaxTokens,
		writeTimeout: defaultWriteTimeout,
		now:          time.Now,
		newID:        func() spoke.RequestID { return spoke.RequestID(uuid.NewString()) },
		log:          logrus.StandardLogger(),

		endOfRequests: func() time.Time { return time.Time{} },
	}
	for _, opt := range opts {
		opt(h)
	}
	h.mux.HandleFunc("POST /v1/completions", h.serve((*exchange).completions))
	h.mux.HandleFunc("POST /v1/chat/completions", h.serve((*exchange).chat))
	h.mux.HandleFunc("GET /v1/models", h.serve((*exchange).models))
	h.mux.HandleFunc("GET /v1/models/{model}", h.serve((*exchange).model))
	h.mux.HandleFunc("/services/{service}/{path...}", h.serve((*exchange).service))
	h.mux.HandleFunc("/", h.serve((*exchange).notFound))
	return h
}

// WithBodyLimit sets the size limit of request bodies.
func WithBodyLimit(limit spoke.ByteSize) Option {
	return func(h *Handler) { h.bodyLimit = limit }
}

// WithHeaderLimit sets the limit of the total size of header names and values.
func WithHeaderLimit(limit spoke.ByteSize) Option {
	return func(h *Handler) { h.headerLimit = limit }
}

// WithMaxTokens sets the token limit of requests that set none.
func WithMaxTokens(limit spoke.TokenCount) Option {
	return func(h *Handler) { h.maxTokens = limit }
}

// WithWriteTimeout sets the time limit for writing one part of a response; it ends requests
// whose callers stop reading.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(h *Handler) { h.writeTimeout = timeout }
}

// WithClock sets the source of the current time.
func WithClock(now func() time.Time) Option {
	return func(h *Handler) { h.now = now }
}

// WithRequestIDs sets the source of request IDs, which must be unique across hosts.
func WithRequestIDs(newID func() spoke.RequestID) Option {
	return func(h *Handler) { h.newID = newID }
}

// WithEndOfRequests sets the source of the time at which requests end at the latest because the host stops, zero while it
// does not.
func WithEndOfRequests(end func() time.Time) Option {
	return func(h *Handler) { h.endOfRequests = end }
}

// WithLog sets the logger.
func WithLog(log logrus.FieldLogger) Option {
	return func(h *Handler) { h.log = log }
}

// ServeHTTP assigns a request ID and serves the request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(requestIDHeader, string(h.newID()))
	h.mux.ServeHTTP(w, r)
}

// serve returns an HTTP handler for an endpoint that first makes the checks common to all
// requests.
func (h *Handler) serve(endpoint func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := spoke.RequestID(w.Header().Get(requestIDHeader))
		x := &exchange{Handler: h, w: w, r: r, id: id, received: h.now(), bodyDeadline: time.Now().Add(bodyReadTimeout)}
		defer x.recoverAnswer()
		caller.AllowEarlyAnswer(w)
		if err := x.run(endpoint); err != nil {
			x.writeRefusal(err)
		}
		x.discardBody()
	}
}

func (x *exchange) run(endpoint func(*exchange) error) error {
	if err := x.authenticate(); err != nil {
		return err
	}
	if !x.inProgress.acquire(x.workspace) {
		refusal := spoke.RefuseNotRun(spoke.CodeWorkspaceLimit, "workspace %s has %d requests in progress", x.workspace.ID, x.workspace.MaxConcurrent)
		refusal.RetryAfter = time.Second
		return refusal
	}
	defer x.inProgress.release(x.workspace)
	return endpoint(x)
}

// refuseLate returns a refusal if the deadline of the request lies behind the end of the host: an estimate of how long
// the request takes is not worth the risk of a broken stream or of a call that may have run.
func (x *exchange) refuseLate() error {
	end := x.endOfRequests()
	if end.IsZero() || x.deadline.Before(end) {
		return nil
	}
	refusal := spoke.RefuseNotRun(spoke.CodeNotReady, "host stops before the deadline of the request")
	refusal.RetryAfter = hostEndsRetryAfter
	return refusal
}

func (x *exchange) notFound() error {
	return spoke.RefuseNotRun(spoke.CodeNotFound, "no resource at %s %s", x.r.Method, x.r.URL.Path)
}

// toRefusal returns the refusal in err with the request ID set. If err has none, which is a
// fault of the backend, the refusal reports an internal error.
func (x *exchange) toRefusal(err error) *spoke.Refusal {
	var refusal *spoke.Refusal
	if !errors.As(err, &refusal) {
		x.log.WithError(err).WithField("request-id", x.id).Error("backend returned an error that is not a refusal")
		refusal = spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "internal error")
	}
	withID := *refusal
	withID.Request = x.id
	if withID.Code == spoke.CodeCancelled && errors.Is(context.Cause(x.r.Context()), drain.ErrEnd) {
		setHostEnds(&withID)
	}
	return &withID
}

// setHostEnds makes the refusal of a cancelled request one of a host that ends, whose caller waits for the answer.
func setHostEnds(refusal *spoke.Refusal) {
	refusal.Message = drain.ErrEnd.Error()
	if refusal.Outcome == spoke.OutcomeNotRun {
		refusal.Code, refusal.RetryAfter = spoke.CodeNotReady, hostEndsRetryAfter
		return
	}
	refusal.Code = spoke.CodeDeadline
}
