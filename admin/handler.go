package admin

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// maxBody bounds a ticket; the manifest that must hold it stays under 1 MB.
	maxBody = 4 << 20

	pathTickets  = "/admin/tickets"
	pathConfig   = "/admin/config"
	pathStatus   = "/admin/status"
	pathDrain    = "/admin/drain"
	pathEvents   = "/admin/events"
	pathRequests = "/admin/requests"

	paramRequest  = "request"
	paramUpstream = "upstream"
	paramTicket   = "ticket"
	paramSince    = "since"
	paramUntil    = "until"

	contentJSON = "application/json"
)

type (
	// Option changes a handler that NewHandler returns.
	Option func(*Handler)

	// Handler serves the administration API over a backend.
	Handler struct {
		backend spoke.Administration
		codec   spoke.TicketCodec
		keys    keyRing
		log     logrus.FieldLogger
		routes  *http.ServeMux
	}

	// answer is the body of a successful call with its status.
	answer struct {
		status int
		body   []byte
	}

	endpoint func(*http.Request) (answer, error)
)

var _ http.Handler = (*Handler)(nil)

// WithLog sets the log for refused and failed calls; without it they are not logged.
func WithLog(log logrus.FieldLogger) Option {
	return func(h *Handler) { h.log = log }
}

// NewHandler returns a handler that accepts the keys with the given hashes only.
func NewHandler(backend spoke.Administration, codec spoke.TicketCodec, keys []spoke.KeyHash, options ...Option) *Handler {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	h := &Handler{backend: backend, codec: codec, keys: newKeyRing(keys), log: silent, routes: http.NewServeMux()}
	for _, option := range options {
		option(h)
	}
	h.handle("POST "+pathTickets, h.submit)
	h.handle("GET "+pathTickets+"/{number}", h.ticket)
	h.handle("GET "+pathConfig, h.config)
	h.handle("GET "+pathStatus, h.status)
	h.handle("POST "+pathDrain, h.drain)
	h.handle("GET "+pathEvents, h.events)
	h.handle("GET "+pathRequests+"/{id}", h.explain)
	h.handle("/", unknownPath)
	return h
}

// ServeHTTP checks the credentials before it looks at anything else.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.keys.accepts(r.Header.Get("Authorization")) {
		h.fail(w, r, &spoke.AdminError{Code: spoke.AdminUnauthorized, Message: "no valid administration key"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	h.routes.ServeHTTP(w, r)
}

func (h *Handler) handle(pattern string, serve endpoint) {
	h.routes.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		result, err := serve(r)
		if err != nil {
			h.fail(w, r, err)
			return
		}
		h.write(w, r, result)
	})
}

func (h *Handler) fail(w http.ResponseWriter, r *http.Request, err error) {
	failure := classify(err)
	h.log.WithFields(logrus.Fields{"method": r.Method, "path": r.URL.Path, "code": string(failure.Code)}).
		WithError(err).Warn("administration call failed")
	body, err := encodeFailure(failure)
	if err != nil {
		h.log.WithError(err).Error("failure not encoded")
	}
	h.write(w, r, answer{statusOf(failure.Code), body})
}

func (h *Handler) write(w http.ResponseWriter, r *http.Request, result answer) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(result.status)
	if _, err := w.Write(result.body); err != nil {
		h.log.WithField("path", r.URL.Path).WithError(err).Warn("administration answer not sent")
	}
}

func (h *Handler) submit(r *http.Request) (answer, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{}, bodyError(err)
	}
	ticket, err := h.codec.DecodeTicket(text)
	if err != nil {
		return answer{}, err
	}
	if err := h.backend.Submit(r.Context(), ticket); err != nil {
		return answer{}, err
	}
	body, err := encodeReceipt(ticket.Number)
	return answer{http.StatusOK, body}, err
}

func (h *Handler) ticket(r *http.Request) (answer, error) {
	text := r.PathValue("number")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return answer{}, badRequest(err, "ticket number %q", text)
	}
	ticket, err := h.backend.Ticket(r.Context(), spoke.TicketNumber(number))
	if err != nil {
		return answer{}, err
	}
	body, err := h.codec.EncodeTicket(ticket)
	return answer{http.StatusOK, body}, err
}

func (h *Handler) config(r *http.Request) (answer, error) {
	manifest, err := h.backend.Manifest(r.Context())
	if err != nil {
		return answer{}, err
	}
	if manifest == nil {
		return answer{}, &spoke.AdminError{Code: spoke.AdminNotReady, Message: "no configuration is in force"}
	}
	body, err := h.codec.EncodeManifest(manifest)
	return answer{http.StatusOK, body}, err
}

func (h *Handler) status(r *http.Request) (answer, error) {
	status, err := h.backend.Status(r.Context())
	if err != nil {
		return answer{}, err
	}
	body, err := encodeStatus(status)
	return answer{http.StatusOK, body}, err
}

func (h *Handler) drain(r *http.Request) (answer, error) {
	if err := h.backend.Drain(r.Context()); err != nil {
		return answer{}, err
	}
	return answer{http.StatusAccepted, []byte(`{"draining":true}`)}, nil
}

func (h *Handler) events(r *http.Request) (answer, error) {
	filter, err := readFilter(r)
	if err != nil {
		return answer{}, err
	}
	page, err := h.backend.Events(r.Context(), filter)
	if err != nil {
		return answer{}, err
	}
	body, err := encodePage(page)
	return answer{http.StatusOK, body}, err
}

func (h *Handler) explain(r *http.Request) (answer, error) {
	report, err := h.backend.Explain(r.Context(), spoke.RequestID(r.PathValue("id")))
	if err != nil {
		return answer{}, err
	}
	body, err := encodeRequest(report)
	return answer{http.StatusOK, body}, err
}

func unknownPath(r *http.Request) (answer, error) {
	return answer{}, &spoke.AdminError{Code: spoke.AdminNotFound, Message: "no " + r.Method + " at " + r.URL.Path}
}

func readFilter(r *http.Request) (spoke.EventFilter, error) {
	query := r.URL.Query()
	filter := spoke.EventFilter{
		Request:  spoke.RequestID(query.Get(paramRequest)),
		Upstream: spoke.UpstreamID(query.Get(paramUpstream)),
	}
	if text := query.Get(paramTicket); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return filter, badRequest(err, "parameter %s %q", paramTicket, text)
		}
		filter.Ticket = spoke.TicketNumber(number)
	}
	var err error
	if filter.Since, err = readTime(query.Get(paramSince), paramSince); err != nil {
		return filter, err
	}
	filter.Until, err = readTime(query.Get(paramUntil), paramUntil)
	return filter, err
}

func readTime(text, name string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, badRequest(err, "parameter %s %q", name, text)
	}
	return at, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &spoke.AdminError{Code: spoke.AdminTooLarge, Message: err.Error(), Cause: err}
	}
	return badRequest(err, "body")
}
