package frame

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

type (
	// Handler serves the responses of another handler with another framing.
	Handler struct {
		next  http.Handler
		shape atomic.Pointer[Shape]
	}

	// Shape is the form of the responses of a Handler. The zero value stands for framed responses.
	Shape struct {
		// Version is the HTTP version of the status line, as in "HTTP/1.0".
		Version string
		// Connection is the value of the Connection header, which is absent if it is empty.
		Connection string
		// Path is the path of the requests to which Cut and IsReset apply; empty stands for all.
		Path string
		// Cut returns the part of a body that is sent; nil stands for the whole body.
		Cut func(body []byte) []byte
		// IsReset resets the connection after the body in place of closing it.
		IsReset bool
		// Framing is how the response shows the end of its body.
		Framing Framing
		// Interim is an informational response that is sent first.
		Interim string
		// CutMessage returns the number of bytes of the message that are sent; nil stands for all. The head includes
		// the informational response.
		CutMessage func(head, body []byte) int
	}
)

// New returns a handler that passes responses on unchanged until SetShape is called.
func New(next http.Handler) *Handler {
	h := &Handler{next: next}
	h.SetShape(Shape{})
	return h
}

// Shapes returns the shapes in which a whole response may come.
func Shapes() []Shape {
	return []Shape{{Version: "HTTP/1.1"}, {Version: "HTTP/1.1", Connection: "close"}, {Version: "HTTP/1.0"}, {Version: "HTTP/1.0", Connection: "keep-alive"}}
}

// SetShape sets the form of the following responses.
func (h *Handler) SetShape(shape Shape) { h.shape.Store(&shape) }

// ServeHTTP records the response of the other handler and sends it in the current shape.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	shape := *h.shape.Load()
	if shape.Version == "" {
		h.next.ServeHTTP(w, r)
		return
	}
	if shape.Path != "" && shape.Path != r.URL.Path {
		shape.Cut, shape.IsReset = nil, false
	}
	recorder := httptest.NewRecorder()
	h.next.ServeHTTP(recorder, r)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	shape.write(conn, recorder)
}

func (s Shape) write(conn net.Conn, recorded *httptest.ResponseRecorder) {
	var message bytes.Buffer
	message.WriteString(s.Interim)
	fmt.Fprintf(&message, "%s %d %s\r\n", s.Version, recorded.Code, http.StatusText(recorded.Code))
	if s.Connection != "" {
		fmt.Fprintf(&message, "Connection: %s\r\n", s.Connection)
	}
	body := recorded.Body.Bytes()
	if s.Cut != nil {
		body = s.Cut(body)
	}
	header := recorded.Header()
	body = s.Framing.addTo(header, body)
	// Writing to a buffer does not fail.
	_ = header.Write(&message)
	_, _ = io.WriteString(&message, "\r\n")
	sent := message.Len() + len(body)
	if s.CutMessage != nil {
		sent = s.CutMessage(message.Bytes(), body)
	}
	_, _ = message.Write(body)
	_, _ = conn.Write(message.Bytes()[:sent])
	if s.IsReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}
