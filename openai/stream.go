package openai

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"magnoliaspoke.example/spoke"
)

// events writes server-sent events; its buffer is reused for all events of a stream.
type events struct {
	x       *exchange
	control *http.ResponseController
	buffer  bytes.Buffer
	encoder *json.Encoder
	open    bool
}

func newEvents(x *exchange) *events {
	e := &events{x: x, control: http.NewResponseController(x.w)}
	e.encoder = json.NewEncoder(&e.buffer)
	return e
}

// stream passes the pieces on as server-sent events. The header goes out with
// the first token, so that a refusal before it still has its status.
func (x *exchange) stream(run spoke.RunStream, f form) error {
	e := newEvents(x)
	var last spoke.Piece
	for {
		piece, err := run.Next(x.r.Context())
		if err == io.EOF { //nolint:errorlint // RunStream returns io.EOF itself.
			break
		}
		if err != nil {
			return e.broken(err)
		}
		if piece.Tokens == 0 && piece.Finish == "" {
			continue
		}
		last = piece
		if err := e.piece(f, piece); err != nil {
			return e.broken(err)
		}
	}
	if last.Finish == "" {
		return e.broken(spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "the answer has no end mark"))
	}
	if f.includeUsage {
		e.add(f.usage(last.Usage))
	}
	e.buffer.WriteString("data: [DONE]\n\n")
	if err := e.flush(); err != nil {
		return e.broken(err)
	}
	return nil
}

func (e *events) piece(f form, piece spoke.Piece) error {
	if !e.open {
		e.open = true
		header := e.x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		if f.chat {
			e.add(f.opening())
		}
	}
	e.add(f.chunk(piece))
	return e.flush()
}

func (e *events) add(body any) {
	e.buffer.WriteString("data: ")
	// Encode writes to memory and ends with a newline; the bodies hold only strings and numbers.
	_ = e.encoder.Encode(body)
	e.buffer.WriteByte('\n')
}

func (e *events) flush() error {
	e.x.extendWrite()
	_, err := e.x.w.Write(e.buffer.Bytes())
	e.buffer.Reset()
	if err != nil {
		return err
	}
	return e.control.Flush()
}

// broken ends a stream that cannot be completed: an error event without the end
// mark, and an aborted connection, so that no short answer looks complete.
func (e *events) broken(err error) error {
	if !e.open {
		return err
	}
	refusal := e.x.refusalOf(err)
	e.x.logRefusal(refusal).Warn("stream broken")
	e.buffer.Reset()
	e.add(encodeRefusal(refusal))
	_ = e.flush()
	panic(http.ErrAbortHandler)
}
