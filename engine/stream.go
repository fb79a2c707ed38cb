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

// trailLimit bounds the wait for the end of the body after the end mark; reading up to the
// end lets the connection go back to the pool.
const trailLimit = 100 * time.Millisecond

// stream reads the server-sent events of one attempt.
type stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	client  *Client
	at      spoke.Address
	spec    spoke.RunSpec
	decoder *eventReader
	next    spoke.TokenCount
	heard   time.Time
	// last is the piece with the finish mark; it is held back until the end mark arrives, so
	// that a stream without end mark never looks finished.
	last   *spoke.Piece
	err    error
	closed bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, client *Client, at spoke.Address, spec spoke.RunSpec, answer *http.Response) *stream {
	return &stream{
		ctx:     ctx,
		cancel:  cancel,
		client:  client,
		at:      at,
		spec:    spec,
		decoder: newEventReader(answer.Body),
		next:    spec.ResumeFrom,
		heard:   client.clock.Now(),
	}
}

// Next returns the next piece of the attempt in order. The end of the given context ends the
// stream as well; its cause is returned.
func (s *stream) Next(ctx context.Context) (spoke.Piece, error) {
	if s.err != nil {
		return spoke.Piece{}, s.err
	}
	if ctx.Done() != s.ctx.Done() {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	for {
		piece, ok, err := s.read()
		if err != nil {
			s.err = err
			return spoke.Piece{}, err
		}
		if ok {
			return piece, nil
		}
	}
}

// read takes one event; it reports false for events that give the caller nothing.
func (s *stream) read() (spoke.Piece, bool, error) {
	if !s.decoder.Next() {
		return spoke.Piece{}, false, s.breakError()
	}
	s.heard = s.client.clock.Now()
	data := s.decoder.Data()
	if string(bytes.TrimSpace(data)) == doneMark {
		return s.finish()
	}
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return spoke.Piece{}, false, errors.Join(spoke.ErrIncomplete, eris.Wrapf(err, "chunk of engine %s", s.at))
	}
	if chunk.Error != nil {
		return spoke.Piece{}, false, errors.Join(spoke.ErrIncomplete,
			eris.Errorf("engine %s reported %q: %s", s.at, chunk.Error.Code, chunk.Error.Message))
	}
	if chunk.Attempt != s.spec.Attempt {
		return spoke.Piece{}, false, nil
	}
	return s.accept(chunk)
}

// accept checks version and offset of a piece of the own attempt.
func (s *stream) accept(chunk chunkBody) (spoke.Piece, bool, error) {
	piece := chunk.piece()
	if s.spec.Version != "" && piece.Version != s.spec.Version {
		return piece, false, errors.Join(spoke.ErrWrongVersion,
			eris.Errorf("attempt %s got a piece of version %q, not %q", s.spec.Attempt, piece.Version, s.spec.Version))
	}
	if s.last != nil {
		// Engines may send the usage in a chunk of its own after the finish mark.
		if chunk.Usage != nil {
			s.last.Usage = piece.Usage
		}
		return piece, false, nil
	}
	if piece.Tokens > 0 && piece.Offset > s.next {
		return piece, false, errors.Join(spoke.ErrIncomplete,
			eris.Errorf("attempt %s lacks tokens %d to %d", s.spec.Attempt, s.next, piece.Offset))
	}
	isRepeat := piece.Tokens > 0 && piece.Offset < s.next
	if isRepeat {
		piece.Text, piece.Tokens, piece.Offset = "", 0, s.next
	}
	s.next += piece.Tokens
	if piece.Finish != "" {
		s.last = &piece
		return piece, false, nil
	}
	return piece, piece.Tokens > 0, nil
}

// finish returns the held piece; the call after it returns io.EOF.
func (s *stream) finish() (spoke.Piece, bool, error) {
	if s.last == nil {
		return spoke.Piece{}, false, errors.Join(spoke.ErrIncomplete,
			eris.Errorf("engine %s ended attempt %s without finish mark", s.at, s.spec.Attempt))
	}
	s.err = io.EOF
	return *s.last, true, nil
}

// breakError classifies the end of the body before the end mark.
func (s *stream) breakError() error {
	if s.ctx.Err() != nil {
		s.client.doubtPool(s.at, s.heard)
		return eris.Wrapf(context.Cause(s.ctx), "attempt %s at engine %s", s.spec.Attempt, s.at)
	}
	if cause := s.decoder.Err(); cause != nil {
		return s.client.brokenError(s.ctx, s.at, eris.Wrapf(cause, "attempt %s at engine %s", s.spec.Attempt, s.at))
	}
	return errors.Join(spoke.ErrIncomplete, eris.Errorf("engine %s closed attempt %s", s.at, s.spec.Attempt))
}

// Close ends the stream; a run that is not finished is cancelled at the engine.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if !errors.Is(s.err, io.EOF) {
		s.cancel(context.Canceled)
		s.decoder.Close()
		if !errors.Is(s.err, spoke.ErrUpstreamDied) {
			s.client.cancelLater(s.at, s.spec.Attempt)
		}
		if s.err == nil {
			s.err = eris.Wrapf(context.Canceled, "stream of attempt %s is closed", s.spec.Attempt)
		}
		return nil
	}
	limit := time.AfterFunc(trailLimit, func() { s.cancel(context.Canceled) })
	defer limit.Stop()
	for s.decoder.Next() {
		continue
	}
	s.decoder.Close()
	s.cancel(nil)
	return nil
}
