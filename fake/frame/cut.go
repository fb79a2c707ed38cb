package frame

import (
	"bytes"
	"fmt"
	"net/http"
)

const (
	// Unframed stands for neither a length nor chunks.
	Unframed Framing = ""
	// Length stands for a Content-Length header.
	Length Framing = "length"
	// Chunks stands for chunked transfer encoding.
	Chunks Framing = "chunks"

	interimHead = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// Framing is how a response shows the end of its body.
type Framing string

// addTo adds the framing to the header of a response and returns the body as it is sent.
func (f Framing) addTo(header http.Header, body []byte) []byte {
	header.Del("Content-Length")
	switch f {
	case Length:
		header.Set("Content-Length", fmt.Sprint(len(body)))
	case Chunks:
		header.Set("Transfer-Encoding", "chunked")
		half := len(body) / 2
		var chunked bytes.Buffer
		for _, chunk := range [][]byte{body[:half], body[half:]} {
			if len(chunk) > 0 {
				fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		chunked.WriteString("0\r\n\r\n")
		return chunked.Bytes()
	}
	return body
}

// AcceptedCuts repeats a call with responses that are cut after each byte of the head, or of a body with a length
// or chunks, and returns a description of each that call accepts, or of a whole one that it rejects.
func (h *Handler) AcceptedCuts(call func() error) []string {
	var accepted []string
	for _, framing := range []Framing{Unframed, Length, Chunks} {
		for _, interim := range []string{"", interimHead} {
			for _, isReset := range []bool{false, true} {
				shape := Shape{Version: "HTTP/1.1", Framing: framing, Interim: interim, IsReset: isReset}
				accepted = append(accepted, h.acceptedCutsOf(shape, call)...)
			}
		}
	}
	return accepted
}

func (h *Handler) acceptedCutsOf(shape Shape, call func() error) []string {
	var accepted []string
	end := 0
	whole := shape
	whole.IsReset = false
	whole.CutMessage = func(head, body []byte) int {
		end = len(head) + len(body)
		if shape.Framing == Unframed {
			end = len(head)
		}
		return len(head) + len(body)
	}
	h.SetShape(whole)
	if err := call(); err != nil {
		accepted = append(accepted, fmt.Sprintf("whole response rejected: %v", err))
	}
	for sent := range end {
		shape.CutMessage = func([]byte, []byte) int { return sent }
		h.SetShape(shape)
		if call() == nil {
			accepted = append(accepted, fmt.Sprintf("%q after %q, reset %t: accepted %d of %d bytes", shape.Framing, shape.Interim, shape.IsReset, sent, end))
		}
	}
	return accepted
}
