package edge

import (
	"errors"
	"io"
	"sync/atomic"

	"magnoliaspoke.example/spoke/link"
)

const (
	// answerLimit bounds an answer that is held until it is whole.
	answerLimit = 16 << 20
	// smallAnswer is the size up to which an answer is held whatever else is; larger ones share a part
	// of the host's memory, so that answers without end do not take it from the others.
	smallAnswer = 64 << 10
	// answersShare is the divisor of the host's memory that larger answers may take together.
	answersShare = 8
)

var (
	errLongAnswer = errors.New("answer is too long")
	errNoMemory   = errors.New("long answers take too much memory")
	errNoEvent    = errors.New("stream holds bytes that are no event")
)

// byteBudget is memory that several answers share.
type byteBudget struct {
	limit int64
	taken atomic.Int64
}

func (b *byteBudget) take(count int64) bool {
	if b.taken.Add(count) <= b.limit {
		return true
	}
	b.taken.Add(-count)
	return false
}

func (b *byteBudget) release(count int64) { b.taken.Add(-count) }

// readWhole reads a body to its end; the caller calls release when it needs the body no more.
func readWhole(body io.Reader, shared *byteBudget) (whole []byte, release func(), err error) {
	var taken int64
	release = func() { shared.release(taken) }
	whole = make([]byte, 0, readSize)
	for {
		if len(whole) == cap(whole) {
			size := int64(2 * cap(whole))
			if size > answerLimit {
				return nil, release, errLongAnswer
			}
			// The old buffer stays in use until it is copied.
			if size > smallAnswer {
				if !shared.take(size) {
					return nil, release, errNoMemory
				}
				taken += size
			}
			whole = append(make([]byte, 0, size), whole...)
		}
		n, err := body.Read(whole[len(whole):cap(whole)])
		whole = whole[:len(whole)+n]
		if errors.Is(err, io.EOF) {
			return whole, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}

// isEndless reports whether an answer was given up for its size or for bytes that are no answer.
func isEndless(err error) bool {
	for _, kind := range []error{link.ErrHeadTooLong, errLongAnswer, errNoMemory, errHuge, errNoEvent} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
