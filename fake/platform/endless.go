package platform

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// EndlessHead sends a header line without end.
	EndlessHead Behaviour = "endless-head"
	// EndlessInformational sends informational answers without end.
	EndlessInformational Behaviour = "endless-informational"
	// EndlessBody sends a body without end.
	EndlessBody Behaviour = "endless-body"
	// EndlessEvent sends an event without end.
	EndlessEvent Behaviour = "endless-event"
	// EndlessGarbage sends bytes that are no events and hold the mark of an event's end.
	EndlessGarbage Behaviour = "endless-garbage"
	// EndlessAfter sends a whole answer and bytes without end after it.
	EndlessAfter Behaviour = "endless-after"

	// pouredBlock is the size of one write of bytes without end.
	pouredBlock = 8 << 10
)

// endless holds what such a behaviour begins with and what it repeats until the caller closes.
type endless struct{ begin, repeated string }

func endlessOf(behaviour Behaviour, ownHead string) (endless, bool) {
	chunked := ownHead + "Transfer-Encoding: chunked\r\n\r\n"
	shape, ok := map[Behaviour]endless{
		EndlessHead:          {"HTTP/1.1 200 OK\r\nX: ", "x"},
		EndlessInformational: {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		EndlessBody:          {chunked, "10\r\n0123456789abcdef\r\n"},
		EndlessEvent:         {chunked + "6\r\ndata: \r\n", "10\r\n0123456789abcdef\r\n"},
		EndlessGarbage:       {chunked, "10\r\n0123456789abcd\n\n\r\n"},
		EndlessAfter:         {ownHead + "Content-Length: 10\r\n\r\nown answer", "x"},
	}[behaviour]
	return shape, ok
}

// LongestPour returns the longest time in which a caller took bytes without end.
func (e *Engine) LongestEndlessWrite() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.longestPour
}

// pour writes bytes without end until the caller closes.
func (e *Engine) pour(w http.ResponseWriter, r *http.Request, behaviour Behaviour) bool {
	shape, ok := endlessOf(behaviour, "HTTP/1.1 200 OK\r\n"+headRequest+": "+r.Header.Get(headRequest)+"\r\n"+headOrigin+": "+originPrefix+e.ID+"\r\n")
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	begin := time.Now()
	_, err = io.WriteString(conn, shape.begin)
	block := strings.Repeat(shape.repeated, 1+pouredBlock/len(shape.repeated))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	e.longestPour = max(e.longestPour, time.Since(begin))
	return true
}
