package edge

import (
	"errors"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/link"
)

const (
	// maxAnswerSize bounds an answer that is buffered until it is complete.
	maxAnswerSize spoke.ByteSize = 16 << 20
	// answerMemoryDivisor divides the memory of the host; the result is the budget for larger answers.
	answerMemoryDivisor = 8
)

var errNotEvents = errors.New("stream contains bytes that are not an event")

// isEndless reports whether an answer was aborted because of its size or because of bytes that are not
// a valid answer.
func isEndless(err error) bool {
	for _, kind := range []error{link.ErrHeadTooLong, fetch.ErrTooLong, fetch.ErrMemory, errLargeEvent, errNotEvents} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
