package edge

import (
	"context"
	"errors"
	"io"
)

// heardReader reports each read that returns bytes.
type heardReader struct {
	io.Reader
	heard func()
}

// Read reads from the body and reports bytes.
func (r *heardReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.heard()
	}
	return n, err
}

// endedBy names what ended an attempt with the given context.
func endedBy(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return "upstream"
	case errors.Is(cause, errIdleTimeout):
		return "idle-timer"
	case errors.Is(cause, errOutdatedWeights):
		return "recall"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	}
	return "caller"
}
