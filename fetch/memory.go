package fetch

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// MaxHead bounds the head of a response, in bytes.
	MaxHead = 64 << 10
	// UnknownLength makes the memory of a body grow with its bytes, whatever length its sender states.
	UnknownLength spoke.ByteSize = -1
	// smallBody is the size up to which a body is always read. Larger bodies share a budget, so that bodies without
	// end do not use up the memory of other calls.
	smallBody spoke.ByteSize = 64 << 10
	// readSize is the size of the first buffer for a body.
	readSize spoke.ByteSize = 1 << 10
)

var (
	// ErrTooLong reports a body that exceeds its size limit.
	ErrTooLong = eris.New("body is too long")
	// ErrMemory reports that the memory for long bodies is used up.
	ErrMemory = eris.New("memory budget for long bodies is used up")
)

// Memory is a memory budget that long bodies share; it is safe for concurrent use.
type Memory struct {
	limit    spoke.ByteSize
	reserved atomic.Int64
}

// NewMemory returns a budget of the given size.
func NewMemory(limit spoke.ByteSize) *Memory { return &Memory{limit: limit} }

// Reserve takes a part of the budget and reports whether there was enough left.
func (m *Memory) Reserve(size spoke.ByteSize) bool {
	if spoke.ByteSize(m.reserved.Add(int64(size))) <= m.limit {
		return true
	}
	m.reserved.Add(-int64(size))
	return false
}

// Release returns a part of the budget.
func (m *Memory) Release(size spoke.ByteSize) { m.reserved.Add(-int64(size)) }

// ReadWhole reads a body to its end; the caller must call release once it no longer needs the content. length is the size
// that the sender has stated, not above the limit, and negative if there is none. Its errors match ErrTooLong above the
// limit and ErrMemory without memory for a long body.
func (m *Memory) ReadWhole(body io.Reader, length, limit spoke.ByteSize) (content []byte, release func(), err error) {
	var taken spoke.ByteSize
	release = func() { m.Release(taken) }
	// The end of a body of the stated size is found without a larger buffer.
	first := max(readSize, length+1)
	if first > smallBody {
		if !m.Reserve(first) {
			return nil, release, ErrMemory
		}
		taken = first
	}
	content = make([]byte, 0, first)
	for {
		if len(content) == cap(content) {
			if spoke.ByteSize(len(content)) > limit {
				return nil, release, ErrTooLong
			}
			size := min(spoke.ByteSize(2*cap(content)), limit+1)
			// The old buffer stays in use until it is copied, so its size is not released here.
			if size > smallBody {
				if !m.Reserve(size) {
					return nil, release, ErrMemory
				}
				taken += size
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) && spoke.ByteSize(len(content)) > limit {
			return nil, release, ErrTooLong
		}
		if errors.Is(err, io.EOF) {
			return content, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}
