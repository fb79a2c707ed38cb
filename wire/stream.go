package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// frameIdleLimit is three heartbeat periods of an internal stream.
	frameIdleLimit = 3 * time.Second
	// headerLimit bounds the wait for the status line, which the owner sends before it queues the run.
	headerLimit = 2 * time.Second
	// maxFrame bounds a line of a stream.
	maxFrame = 1 << 20
)

type (
	// remoteStream reads the frames of a run at another host.
	remoteStream struct {
		attempt spoke.AttemptID
		body    io.ReadCloser
		lines   *bufio.Scanner
		timer   spoke.Timer
		cancel  context.CancelFunc
		frames  chan lineResult
		done    chan struct{}
	}

	lineResult struct {
		frame frameJSON
		err   error
	}
)

// Run starts an attempt at the upstream's owner; errors follow the rule of spoke.Dispatcher
// and match ErrOwnerLost if the owner did not answer.
func (c *Client) Run(ctx context.Context, owner spoke.Address, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	body, err := EncodeDispatch(dispatch)
	if err != nil {
		return nil, errors.Join(spoke.ErrNotRun, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	limit := c.timer.After(headerLimit)
	defer limit.Stop()
	answered := make(chan struct{})
	expired := make(chan struct{})
	go func() {
		select {
		case <-limit.C():
			close(expired)
			cancel()
		case <-answered:
		}
	}()
	resp, err := c.send(ctx, http.MethodPost, owner, pathRuns, body)
	close(answered)
	if err != nil {
		cancel()
		return nil, ownerLost(err, expired)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		defer cancel()
		text, readErr := readBody(resp.Header, resp.Body, maxFrame)
		return nil, eris.Wrapf(errors.Join(spoke.ErrNotRun, readErr), "owner at %s answered %s: %s", owner, resp.Status, text)
	}
	return newRemoteStream(dispatch.Spec.Attempt, resp.Body, c.timer, cancel), nil
}

func ownerLost(err error, expired <-chan struct{}) error {
	select {
	case <-expired:
		return eris.Wrapf(spoke.ErrOwnerLost, "no status line within %s", headerLimit)
	default:
	}
	return errors.Join(spoke.ErrOwnerLost, err)
}

func newRemoteStream(attempt spoke.AttemptID, body io.ReadCloser, timer spoke.Timer, cancel context.CancelFunc) *remoteStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrame)
	stream := &remoteStream{
		attempt: attempt, body: body, lines: lines, timer: timer, cancel: cancel,
		frames: make(chan lineResult), done: make(chan struct{}),
	}
	go stream.read()
	return stream
}

// read runs in a goroutine of its own because a blocked read of a silent
// connection cannot observe the idle limit.
func (s *remoteStream) read() {
	for {
		result := s.readFrame()
		select {
		case s.frames <- result:
		case <-s.done:
			return
		}
		if result.err != nil {
			return
		}
	}
}

func (s *remoteStream) readFrame() lineResult {
	if !s.lines.Scan() {
		return lineResult{err: eris.Wrapf(spoke.ErrOwnerLost, "stream of attempt %s closed: %v", s.attempt, s.lines.Err())}
	}
	frame, err := decodeFrame(s.lines.Bytes())
	return lineResult{frame: frame, err: err}
}

// Next returns the next piece; a heartbeat is a piece without tokens.
func (s *remoteStream) Next(ctx context.Context) (spoke.Piece, error) {
	idle := s.timer.After(frameIdleLimit)
	defer idle.Stop()
	select {
	case result := <-s.frames:
		if result.err != nil {
			return spoke.Piece{}, result.err
		}
		return interpret(result.frame)
	case <-idle.C():
		return spoke.Piece{}, eris.Wrapf(errors.Join(spoke.ErrOwnerLost, spoke.ErrIdleTimeout),
			"no frame of attempt %s for %s", s.attempt, frameIdleLimit)
	case <-ctx.Done():
		return spoke.Piece{}, ctx.Err()
	}
}

func interpret(frame frameJSON) (spoke.Piece, error) {
	switch frame.Kind {
	case framePiece, frameHeartbeat:
		return decodePiece(frame), nil
	case frameEnd:
		return spoke.Piece{}, io.EOF
	case frameRefusal, frameFailure:
		return spoke.Piece{}, decodeFailure(frame)
	}
	return spoke.Piece{}, eris.Errorf("unknown frame kind %q", frame.Kind)
}

// Close ends the stream; the owner cancels the run when its connection closes.
func (s *remoteStream) Close() error {
	close(s.done)
	s.cancel()
	return s.body.Close()
}
