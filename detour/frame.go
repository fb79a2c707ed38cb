package detour

import (
	"bufio"
	"encoding/binary"
	"errors"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// kindData is followed by a length and as many bytes; the other kinds are the last byte of their direction.
	kindData frameKind = 1
	// kindEnd says that the connection ended in order.
	kindEnd frameKind = 2
	// kindReset says that the connection was reset or has to be.
	kindReset frameKind = 3

	// headerBytes is the size of the kind and the length of a data frame.
	headerBytes = 5
	// maxFrameBytes bounds the bytes of a data frame.
	maxFrameBytes = 32 << 10
	// readBufferBytes is enough for some events of a stream with their headers.
	readBufferBytes = 4 << 10
)

var (
	// errEnd reports a frame kindEnd; io.EOF is the end of the tunnel without one.
	errEnd = errors.New("connection ended in order")
	// errReset reports a frame kindReset.
	errReset = &resetError{}
	// errFrame reports bytes that are no frame.
	errFrame = eris.New("malformed frame")
)

type (
	// frameKind is the first byte of a frame.
	frameKind byte

	// resetError is the error of a connection that was reset behind the relaying host.
	resetError struct{}

	// frameReader reads the bytes of data frames; it is not safe for concurrent use.
	frameReader struct {
		reader *bufio.Reader
		// remaining is the number of unread bytes of the current data frame.
		remaining int
		// last is the error of the last frame of the direction, nil before it.
		last error
	}
)

// Error names the connection that was reset.
func (*resetError) Error() string {
	return "connection behind the relaying host: " + syscall.ECONNRESET.Error()
}

// Unwrap returns the system's error.
func (*resetError) Unwrap() error { return syscall.ECONNRESET }

// putHeader writes the header of a data frame.
func putHeader(header []byte, length int) {
	header[0] = byte(kindData)
	binary.BigEndian.PutUint32(header[1:headerBytes], uint32(length))
}

// read reads bytes of the current data frame, or of the next one. It returns errEnd, errReset or an error that wraps
// errFrame behind the last frame, and the error of the tunnel if that ends before; a read that a deadline ended can be
// repeated.
func (r *frameReader) read(p []byte) (int, error) {
	if err := r.await(); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// await returns when the current data frame has unread bytes.
func (r *frameReader) await() error {
	if r.last != nil || r.remaining > 0 {
		return r.last
	}
	kind, err := r.reader.Peek(1)
	if err != nil {
		return err
	}
	if frameKind(kind[0]) != kindData {
		r.last = lastError(frameKind(kind[0]))
		return r.last
	}
	header, err := r.reader.Peek(headerBytes)
	if err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length == 0 || length > maxFrameBytes {
		r.last = eris.Wrapf(errFrame, "data of %d bytes", length)
		return r.last
	}
	_, err = r.reader.Discard(headerBytes)
	r.remaining = int(length)
	return err
}

// isEmpty reports whether all bytes that were received have been read and no last frame is among them.
func (r *frameReader) isEmpty() bool {
	return r.last == nil && r.remaining == 0 && r.reader.Buffered() == 0
}

func lastError(kind frameKind) error {
	switch kind {
	case kindEnd:
		return errEnd
	case kindReset:
		return errReset
	default:
		return eris.Wrapf(errFrame, "kind %d", kind)
	}
}
