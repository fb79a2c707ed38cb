package openai

import (
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultBodyLimit is the body limit of the caller API.
	defaultBodyLimit spoke.ByteSize = 8 << 20
	// defaultHeaderLimit is the limit of all header names and values together.
	defaultHeaderLimit spoke.ByteSize = 64 << 10
	// defaultMaxTokens is the token limit of requests that name none.
	defaultMaxTokens spoke.TokenCount = 1024
	// defaultWriteTimeout is how long a caller may leave a part of the answer unread.
	defaultWriteTimeout = 10 * time.Second

	requestIDHeader = "X-Request-Id"
)

type (
	// Handler serves the caller API.
	Handler struct {
		backend      spoke.Backend
		manifests    spoke.ManifestSource
		mux          *http.ServeMux
		directory    directory
		running      counter
		bodyLimit    spoke.ByteSize
		headerLimit  spoke.ByteSize
		maxTokens    spoke.TokenCount
		writeTimeout time.Duration
		now          func() time.Time
		newID        func() spoke.RequestID
		log          logrus.FieldLogger
	}

	// Option changes a Handler.
	Option func(*Handler)

	// exchange is one request of a caller with its answer.
	exchange struct {
		*Handler
		w         http.ResponseWriter
		r         *http.Request
		id        spoke.RequestID
		received  time.Time
		manifest  *spoke.Manifest
		workspace spoke.Workspace
		deadline  time.Time
	}
)

// New returns the caller API over the backend, with the configuration of the manifests.
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
	}
	for _, opt := range opts {
		opt(h)
	}
	h.mux.HandleFunc("POST /v1/completions", h.serve((*exchange).completions))
	h.mux.HandleFunc("POST /v1/chat/completions", h.serve((*exchange).chat))
	h.mux.HandleFunc("GET /v1/models", h.serve((*exchange).models))
	h.mux.HandleFunc("GET /v1/models/{model}", h.serve((*exchange).model))
	h.mux.HandleFunc("/services/{service}/{path...}", h.serve((*exchange).service))
	h.mux.HandleFunc("/", h.serve((*exchange).unknown))
	return h
}

// WithBodyLimit sets the limit of request bodies.
func WithBodyLimit(limit spoke.ByteSize) Option {
	return func(h *Handler) { h.bodyLimit = limit }
}

// WithHeaderLimit sets the limit of request headers.
func WithHeaderLimit(limit spoke.ByteSize) Option {
	return func(h *Handler) { h.headerLimit = limit }
}

// WithMaxTokens sets the token limit of requests that name none.
func WithMaxTokens(limit spoke.TokenCount) Option {
	return func(h *Handler) { h.maxTokens = limit }
}

// WithWriteTimeout sets how long a caller may leave a part of the answer unread.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(h *Handler) { h.writeTimeout = timeout }
}

// WithClock sets the source of the current time.
func WithClock(now func() time.Time) Option {
	return func(h *Handler) { h.now = now }
}

// WithRequestIDs sets the source of request ids, which must be unique across hosts.
func WithRequestIDs(newID func() spoke.RequestID) Option {
	return func(h *Handler) { h.newID = newID }
}

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(h *Handler) { h.log = log }
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(requestIDHeader, string(h.newID()))
	h.mux.ServeHTTP(w, r)
}

// serve wraps a step with the checks that all requests share.
func (h *Handler) serve(step func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := spoke.RequestID(w.Header().Get(requestIDHeader))
		x := &exchange{Handler: h, w: w, r: r, id: id, received: h.now()}
		if err := x.run(step); err != nil {
			x.refuse(err)
		}
	}
}

func (x *exchange) run(step func(*exchange) error) error {
	if err := x.identify(); err != nil {
		return err
	}
	if !x.running.enter(x.workspace) {
		refusal := spoke.RefuseNotRun(spoke.CodeWorkspaceLimit, "workspace %s has %d requests in progress", x.workspace.ID, x.workspace.MaxConcurrent)
		refusal.RetryAfter = time.Second
		return refusal
	}
	defer x.running.leave(x.workspace)
	return step(x)
}

func (x *exchange) unknown() error {
	return spoke.RefuseNotRun(spoke.CodeNotFound, "no resource at %s %s", x.r.Method, x.r.URL.Path)
}

// refusalOf returns the refusal in err, or one for a fault of the backend.
func (x *exchange) refusalOf(err error) *spoke.Refusal {
	var refusal *spoke.Refusal
	if !errors.As(err, &refusal) {
		x.log.WithError(err).WithField("request-id", x.id).Error("backend failed without a refusal")
		refusal = spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "internal error")
	}
	named := *refusal
	named.Request = x.id
	return &named
}
