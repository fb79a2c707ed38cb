package edge

import (
	"errors"
	"io"
	"sync/atomic"

	"magnoliaspoke.example/spoke/link"
)

const (
	// maxAnswerSize bounds an answer that is buffered until it is complete, in bytes.
	maxAnswerSize = 16 << 20
	// smallAnswerSize is the size in bytes up to which an answer is always buffered. Larger answers share
	// a part of the host's memory, so that endless answers do not use up the memory of other calls.
	smallAnswerSize = 64 << 10
	// answerMemoryDivisor divides the memory of the host; the result is the budget for larger answers.
	answerMemoryDivisor = 8
)

var (
	errLongAnswer   = errors.New("answer is too long")
	errAnswerMemory = errors.New("memory budget for long answers is used up")
	errNotEvents    = errors.New("stream contains bytes that are not an event")
)

// byteBudget is a memory budget, in bytes, that several answers share.
type byteBudget struct {
	limit    int64
	reserved atomic.Int64
}

func (b *byteBudget) reserve(count int64) bool {
	if b.reserved.Add(count) <= b.limit {
		return true
	}
	b.reserved.Add(-count)
	return false
}

func (b *byteBudget) release(count int64) { b.reserved.Add(-count) }

// readAnswer reads a body to its end; the caller must call release once it no longer needs the body.
func readAnswer(body io.Reader, shared *byteBudget) (content []byte, release func(), err error) {
	var taken int64
	release = func() { shared.release(taken) }
	content = make([]byte, 0, readSize)
	for {
		if len(content) == cap(content) {
			size := int64(2 * cap(content))
			if size > maxAnswerSize {
				return nil, release, errLongAnswer
			}
			// The old buffer stays in use until it is copied, so its size is not released here.
			if size > smallAnswerSize {
				if !shared.reserve(size) {
					return nil, release, errAnswerMemory
				}
				taken += size
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}

// isEndless reports whether an answer was aborted because of its size or because of bytes that are not
// a valid answer.
func isEndless(err error) bool {
	for _, kind := range []error{link.ErrHeadTooLong, errLongAnswer, errAnswerMemory, errLargeEvent, errNotEvents} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
