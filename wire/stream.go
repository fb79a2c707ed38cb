package wire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// frameIdleTimeout is three heartbeat periods of an internal stream.
	frameIdleTimeout = 3 * time.Second
	// statusLineTimeout bounds the wait for the status line, which the owner sends before it queues the run.
	statusLineTimeout = 2 * time.Second
	// maxFrameBytes bounds one frame, which is one line of a stream.
	maxFrameBytes = 1 << 20
)

type (
	// remoteStream reads the frames of a run on another host.
	remoteStream struct {
		attempt spoke.AttemptID
		body    io.ReadCloser
		lines   *bufio.Scanner
		timer   spoke.Timer
		cancel  context.CancelFunc
		frames  chan frameResult
		done    chan struct{}
	}

	frameResult struct {
		frame frameJSON
		err   error
	}
)

// Run starts an attempt on the host that owns the upstream. Errors follow the rule of
// spoke.Dispatcher and match ErrOwnerLost if the owner did not respond.
func (c *Client) Run(ctx context.Context, owner spoke.Address, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	body, err := EncodeDispatch(dispatch)
	if err != nil {
		return nil, errors.Join(spoke.ErrNotRun, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	timeout := c.timer.After(statusLineTimeout)
	defer timeout.Stop()
	responded := make(chan struct{})
	expired := make(chan struct{})
	go func() {
		select {
		case <-timeout.C():
			close(expired)
			cancel()
		case <-responded:
		}
	}()
	resp, err := c.send(ctx, http.MethodPost, owner, pathRuns, body)
	close(responded)
	if err != nil {
		cancel()
		return nil, wrapOwnerLost(err, expired)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		defer cancel()
		text, readErr := readBody(resp.Header, resp.Body, maxFrameBytes)
		return nil, eris.Wrapf(errors.Join(spoke.ErrNotRun, readErr), "owner at %s answered %s: %s", owner, resp.Status, text)
	}
	return newRemoteStream(dispatch.Spec.Attempt, resp.Body, c.timer, cancel), nil
}

func wrapOwnerLost(err error, expired <-chan struct{}) error {
	select {
	case <-expired:
		return eris.Wrapf(spoke.ErrOwnerLost, "no status line within %s", statusLineTimeout)
	default:
	}
	return errors.Join(spoke.ErrOwnerLost, err)
}

func newRemoteStream(attempt spoke.AttemptID, body io.ReadCloser, timer spoke.Timer, cancel context.CancelFunc) *remoteStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrameBytes)
	lines.Split(splitFrames)
	stream := &remoteStream{
		attempt: attempt, body: body, lines: lines, timer: timer, cancel: cancel,
		frames: make(chan frameResult), done: make(chan struct{}),
	}
	go stream.read()
	return stream
}

// splitFrames is bufio.ScanLines without a last line that has no end: the stream ended inside that frame.
func splitFrames(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// read runs in its own goroutine, because a blocked read of an idle connection
// cannot observe the idle timeout.
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

func (s *remoteStream) readFrame() frameResult {
	if !s.lines.Scan() {
		return frameResult{err: eris.Wrapf(spoke.ErrOwnerLost, "stream of attempt %s closed: %v", s.attempt, s.lines.Err())}
	}
	frame, err := decodeFrame(s.lines.Bytes())
	return frameResult{frame: frame, err: err}
}

// Next returns the next piece, or one without tokens for a heartbeat, and io.EOF after the end frame.
func (s *remoteStream) Next(ctx context.Context) (spoke.Piece, error) {
	idle := s.timer.After(frameIdleTimeout)
	defer idle.Stop()
	select {
	case result := <-s.frames:
		if result.err != nil {
			return spoke.Piece{}, result.err
		}
		return decodeStreamFrame(result.frame)
	case <-idle.C():
		return spoke.Piece{}, eris.Wrapf(errors.Join(spoke.ErrOwnerLost, spoke.ErrIdleTimeout),
			"no frame of attempt %s for %s", s.attempt, frameIdleTimeout)
	case <-ctx.Done():
		return spoke.Piece{}, ctx.Err()
	}
}

func decodeStreamFrame(frame frameJSON) (spoke.Piece, error) {
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

// Close closes the stream; the owner cancels the run when the connection closes.
func (s *remoteStream) Close() error {
	close(s.done)
	s.cancel()
	return s.body.Close()
}
