package detour

import (
	"bufio"
	"io"
)

// MaxFrameBytes is the size limit of a data frame, for tests.
const MaxFrameBytes = maxFrameBytes

// ErrEnd, ErrReset and ErrFrame are the errors of last frames, for tests.
var ErrEnd, ErrReset, ErrFrame error = errEnd, errReset, errFrame

// FrameReader reads frames, for tests.
type FrameReader struct{ frames frameReader }

// NewFrameReader returns a reader of frames.
func NewFrameReader(source io.Reader) *FrameReader {
	return &FrameReader{frameReader{reader: bufio.NewReaderSize(source, readBufferBytes)}}
}

// Read reads bytes of data frames.
func (r *FrameReader) Read(p []byte) (int, error) { return r.frames.read(p) }
