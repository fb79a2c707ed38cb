package link

import (
	"io"

	"github.com/rotisserie/eris"
)

const (
	// headLimit bounds the heads of one exchange, those of informational answers and of answers to
	// earlier requests included.
	headLimit = 64 << 10
	// mostInformational bounds the informational answers before the final one.
	mostInformational = 8
	// unmetered is more than any body has.
	unmetered = 1 << 62
)

// ErrEndless marks an answer whose head does not end within its bound.
var ErrHeadTooLong = eris.New("head of an answer is too long")

// meter passes on up to an allowed number of bytes, so that a head without end takes neither memory
// nor the time of its call.
type meter struct {
	io.Reader
	allowed int64
}

// Read reads up to what is allowed.
func (m *meter) Read(buffer []byte) (int, error) {
	if m.allowed <= 0 {
		return 0, ErrHeadTooLong
	}
	if int64(len(buffer)) > m.allowed {
		buffer = buffer[:m.allowed]
	}
	n, err := m.Reader.Read(buffer)
	m.allowed -= int64(n)
	return n, err
}
