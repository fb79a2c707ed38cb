package openai

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"magnoliaspoke.example/spoke"
)

// eventWriter writes server-sent events; its buffer is reused for all events of a stream.
type eventWriter struct {
	x       *exchange
	control *http.ResponseController
	buffer  bytes.Buffer
	encoder *json.Encoder
	started bool
}

func newEventWriter(x *exchange) *eventWriter {
	e := &eventWriter{x: x, control: http.NewResponseController(x.w)}
	e.encoder = json.NewEncoder(&e.buffer)
	return e
}

// streamCompletion writes the pieces as server-sent events. The response header is
// sent with the first token, so that an earlier refusal can still set the status.
func (x *exchange) streamCompletion(run spoke.RunStream, builder responseBuilder) error {
	e := newEventWriter(x)
	var last spoke.Piece
	for {
		piece, err := run.Next(x.r.Context())
		if err == io.EOF { //nolint:errorlint // RunStream returns io.EOF itself.
			break
		}
		if err != nil {
			return e.abort(err)
		}
		if piece.Tokens == 0 && piece.Finish == "" {
			continue
		}
		last = piece
		if err := e.writePiece(builder, piece); err != nil {
			return e.abort(err)
		}
	}
	if last.Finish == "" {
		return e.abort(spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "the answer has no end mark"))
	}
	if builder.includeUsage {
		e.appendEvent(builder.usageChunk(last.Usage))
	}
	e.buffer.WriteString("data: [DONE]\n\n")
	if err := e.flush(); err != nil {
		return e.abort(err)
	}
	return nil
}

func (e *eventWriter) writePiece(builder responseBuilder, piece spoke.Piece) error {
	if !e.started {
		e.started = true
		header := e.x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		if builder.chat {
			e.appendEvent(builder.roleChunk())
		}
	}
	e.appendEvent(builder.chunk(piece))
	return e.flush()
}

func (e *eventWriter) appendEvent(body any) {
	e.buffer.WriteString("data: ")
	// Encode writes to memory and appends a newline. It cannot fail: the bodies hold only
	// strings and numbers.
	_ = e.encoder.Encode(body)
	e.buffer.WriteByte('\n')
}

func (e *eventWriter) flush() error {
	e.x.hasBegun = true
	e.x.extendWriteDeadline()
	_, err := e.x.w.Write(e.buffer.Bytes())
	e.buffer.Reset()
	if err != nil {
		return err
	}
	return e.control.Flush()
}

// abort ends a stream that cannot be completed. It sends an error event, omits the
// [DONE] event and aborts the connection, so that a truncated response never appears
// complete. If nothing has been sent yet, it returns err.
func (e *eventWriter) abort(err error) error {
	if !e.started {
		return err
	}
	refusal := e.x.toRefusal(err)
	e.x.refusalLogger(refusal).Warn("stream broken")
	e.buffer.Reset()
	e.appendEvent(encodeRefusal(refusal))
	_ = e.flush()
	panic(http.ErrAbortHandler)
}
