package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// drainTimeout bounds the wait for the end of the body after the [DONE] event; the connection
// returns to the pool only if the body has been read to its end.
const drainTimeout = 100 * time.Millisecond

// stream reads the server-sent events of one attempt.
type stream struct {
	ctx          context.Context
	cancel       context.CancelCauseFunc
	client       *Client
	addr         spoke.Address
	spec         spoke.RunSpec
	events       *eventReader
	nextOffset   spoke.TokenCount
	lastReceived time.Time
	// finalPiece is the piece with the finish reason. It is held back until the [DONE] event
	// arrives, so that a stream without that event never appears complete.
	finalPiece *spoke.Piece
	err        error
	closed     bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, client *Client, addr spoke.Address, spec spoke.RunSpec, response *http.Response) *stream {
	return &stream{
		ctx:          ctx,
		cancel:       cancel,
		client:       client,
		addr:         addr,
		spec:         spec,
		events:       newEventReader(response.Body),
		nextOffset:   spec.ResumeFrom,
		lastReceived: client.clock.Now(),
	}
}

// Next returns the next piece of the attempt in order. If ctx ends, the stream ends as well and
// the error wraps the cause of ctx.
func (s *stream) Next(ctx context.Context) (spoke.Piece, error) {
	if s.err != nil {
		return spoke.Piece{}, s.err
	}
	if ctx.Done() != s.ctx.Done() {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	for {
		piece, ok, err := s.readEvent()
		if err != nil {
			s.err = err
			return spoke.Piece{}, err
		}
		if ok {
			return piece, nil
		}
	}
}

// readEvent reads one event; it returns false for events that yield no piece.
func (s *stream) readEvent() (spoke.Piece, bool, error) {
	if !s.events.Next() {
		return spoke.Piece{}, false, s.endError()
	}
	s.lastReceived = s.client.clock.Now()
	data := s.events.Data()
	if string(bytes.TrimSpace(data)) == doneMarker {
		return s.finish()
	}
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return spoke.Piece{}, false, errors.Join(spoke.ErrIncomplete, eris.Wrapf(err, "chunk of engine %s", s.addr))
	}
	if chunk.Error != nil {
		return spoke.Piece{}, false, errors.Join(spoke.ErrIncomplete,
			eris.Errorf("engine %s reported %q: %s", s.addr, chunk.Error.Code, chunk.Error.Message))
	}
	if chunk.Attempt != s.spec.Attempt {
		return spoke.Piece{}, false, nil
	}
	return s.accept(chunk)
}

// accept checks the version and offset of a chunk of this attempt and removes repeated tokens.
func (s *stream) accept(chunk chunkBody) (spoke.Piece, bool, error) {
	piece := chunk.piece()
	if s.spec.Version != "" && piece.Version != s.spec.Version {
		return piece, false, errors.Join(spoke.ErrWrongVersion,
			eris.Errorf("attempt %s got a piece of version %q, not %q", s.spec.Attempt, piece.Version, s.spec.Version))
	}
	if s.finalPiece != nil {
		// Engines may send the usage in a separate chunk after the finish reason.
		if chunk.Usage != nil {
			s.finalPiece.Usage = piece.Usage
		}
		return piece, false, nil
	}
	if piece.Tokens > 0 && piece.Offset > s.nextOffset {
		return piece, false, errors.Join(spoke.ErrIncomplete,
			eris.Errorf("attempt %s lacks tokens %d to %d", s.spec.Attempt, s.nextOffset, piece.Offset))
	}
	isRepeat := piece.Tokens > 0 && piece.Offset < s.nextOffset
	if isRepeat {
		piece.Text, piece.Tokens, piece.Offset = "", 0, s.nextOffset
	}
	s.nextOffset += piece.Tokens
	if piece.Finish != "" {
		s.finalPiece = &piece
		return piece, false, nil
	}
	return piece, piece.Tokens > 0, nil
}

// finish returns the final piece, which was held back; the next call of Next returns io.EOF.
func (s *stream) finish() (spoke.Piece, bool, error) {
	if s.finalPiece == nil {
		return spoke.Piece{}, false, errors.Join(spoke.ErrIncomplete,
			eris.Errorf("engine %s ended attempt %s without finish mark", s.addr, s.spec.Attempt))
	}
	s.err = io.EOF
	return *s.finalPiece, true, nil
}

// endError classifies the end of the body before the [DONE] event.
func (s *stream) endError() error {
	if s.ctx.Err() != nil {
		s.client.resetPoolIfUnresponsive(s.addr, s.lastReceived)
		return eris.Wrapf(context.Cause(s.ctx), "attempt %s at engine %s", s.spec.Attempt, s.addr)
	}
	if cause := s.events.Err(); cause != nil {
		return s.client.connectionError(s.ctx, s.addr, eris.Wrapf(cause, "attempt %s at engine %s", s.spec.Attempt, s.addr))
	}
	return errors.Join(spoke.ErrIncomplete, eris.Errorf("engine %s closed attempt %s", s.addr, s.spec.Attempt))
}

// Close closes the stream; a run that is not finished is cancelled at the engine.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if !errors.Is(s.err, io.EOF) {
		s.cancel(context.Canceled)
		s.events.Close()
		if !errors.Is(s.err, spoke.ErrUpstreamDied) {
			s.client.cancelAsync(s.addr, s.spec.Attempt)
		}
		if s.err == nil {
			s.err = eris.Wrapf(context.Canceled, "stream of attempt %s is closed", s.spec.Attempt)
		}
		return nil
	}
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(context.Canceled) })
	defer timer.Stop()
	for s.events.Next() {
		continue
	}
	s.events.Close()
	s.cancel(nil)
	return nil
}
