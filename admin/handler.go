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
	// maxBodyBytes bounds a ticket; the manifest that includes it stays below 1 MB.
	maxBodyBytes = 4 << 20

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
	// Option changes a setting of a Handler.
	Option func(*Handler)

	// Handler serves the administration API of a backend.
	Handler struct {
		backend spoke.Administration
		codec   spoke.TicketCodec
		keys    keyRing
		log     logrus.FieldLogger
		routes  *http.ServeMux
	}

	// apiResponse is the HTTP status and the body of a response.
	apiResponse struct {
		status int
		body   []byte
	}

	endpoint func(*http.Request) (apiResponse, error)
)

var _ http.Handler = (*Handler)(nil)

// WithLog sets the logger for refused and failed calls; by default they are not logged.
func WithLog(log logrus.FieldLogger) Option {
	return func(h *Handler) { h.log = log }
}

// NewHandler returns a handler that accepts only the keys with the given hashes.
func NewHandler(backend spoke.Administration, codec spoke.TicketCodec, keys []spoke.KeyHash, options ...Option) *Handler {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	h := &Handler{backend: backend, codec: codec, keys: newKeyRing(keys), log: discard, routes: http.NewServeMux()}
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

// ServeHTTP checks the credentials before any other part of the request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.keys.accepts(r.Header.Get("Authorization")) {
		h.fail(w, r, &spoke.AdminError{Code: spoke.AdminUnauthorized, Message: "no valid administration key"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
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
		h.log.WithError(err).Error("cannot encode error response")
	}
	h.write(w, r, apiResponse{httpStatus(failure.Code), body})
}

func (h *Handler) write(w http.ResponseWriter, r *http.Request, result apiResponse) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(result.status)
	if _, err := w.Write(result.body); err != nil {
		h.log.WithField("path", r.URL.Path).WithError(err).Warn("cannot write administration response")
	}
}

func (h *Handler) submit(r *http.Request) (apiResponse, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return apiResponse{}, bodyError(err)
	}
	ticket, err := h.codec.DecodeTicket(text)
	if err != nil {
		return apiResponse{}, err
	}
	if err := h.backend.Submit(r.Context(), ticket); err != nil {
		return apiResponse{}, err
	}
	body, err := encodeReceipt(ticket.Number)
	return apiResponse{http.StatusOK, body}, err
}

func (h *Handler) ticket(r *http.Request) (apiResponse, error) {
	text := r.PathValue("number")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return apiResponse{}, badRequest(err, "ticket number %q", text)
	}
	ticket, err := h.backend.Ticket(r.Context(), spoke.TicketNumber(number))
	if err != nil {
		return apiResponse{}, err
	}
	body, err := h.codec.EncodeTicket(ticket)
	return apiResponse{http.StatusOK, body}, err
}

func (h *Handler) config(r *http.Request) (apiResponse, error) {
	manifest, err := h.backend.Manifest(r.Context())
	if err != nil {
		return apiResponse{}, err
	}
	if manifest == nil {
		return apiResponse{}, &spoke.AdminError{Code: spoke.AdminNotReady, Message: "no configuration is in force"}
	}
	body, err := h.codec.EncodeManifest(manifest)
	return apiResponse{http.StatusOK, body}, err
}

func (h *Handler) status(r *http.Request) (apiResponse, error) {
	status, err := h.backend.Status(r.Context())
	if err != nil {
		return apiResponse{}, err
	}
	body, err := encodeStatus(status)
	return apiResponse{http.StatusOK, body}, err
}

func (h *Handler) drain(r *http.Request) (apiResponse, error) {
	if err := h.backend.Drain(r.Context()); err != nil {
		return apiResponse{}, err
	}
	return apiResponse{http.StatusAccepted, []byte(`{"draining":true}`)}, nil
}

func (h *Handler) events(r *http.Request) (apiResponse, error) {
	filter, err := readFilter(r)
	if err != nil {
		return apiResponse{}, err
	}
	page, err := h.backend.Events(r.Context(), filter)
	if err != nil {
		return apiResponse{}, err
	}
	body, err := encodePage(page)
	return apiResponse{http.StatusOK, body}, err
}

func (h *Handler) explain(r *http.Request) (apiResponse, error) {
	report, err := h.backend.Explain(r.Context(), spoke.RequestID(r.PathValue("id")))
	if err != nil {
		return apiResponse{}, err
	}
	body, err := encodeRequest(report)
	return apiResponse{http.StatusOK, body}, err
}

func unknownPath(r *http.Request) (apiResponse, error) {
	return apiResponse{}, &spoke.AdminError{Code: spoke.AdminNotFound, Message: "no " + r.Method + " at " + r.URL.Path}
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
