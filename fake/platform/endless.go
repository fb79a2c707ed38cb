package platform

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// EndlessHead sends a header line that never ends.
	EndlessHead Behaviour = "endless-head"
	// EndlessInformational sends informational responses endlessly.
	EndlessInformational Behaviour = "endless-informational"
	// EndlessBody sends a body that never ends.
	EndlessBody Behaviour = "endless-body"
	// EndlessEvent sends an event that never ends.
	EndlessEvent Behaviour = "endless-event"
	// EndlessGarbage endlessly sends bytes that are not events but contain the event separator.
	EndlessGarbage Behaviour = "endless-garbage"
	// EndlessAfter sends a complete response followed by an endless sequence of bytes.
	EndlessAfter Behaviour = "endless-after"

	// endlessWriteBytes is the minimum size of one write of repeated bytes.
	endlessWriteBytes = 8 << 10
)

// endless is an endless response: its beginning and the bytes that follow it repeatedly.
type endless struct{ begin, repeated string }

func endlessOf(behaviour Behaviour, responseHead string) (endless, bool) {
	chunked := responseHead + "Transfer-Encoding: chunked\r\n\r\n"
	pattern, ok := map[Behaviour]endless{
		EndlessHead:          {"HTTP/1.1 200 OK\r\nX: ", "x"},
		EndlessInformational: {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		EndlessBody:          {chunked, "10\r\n0123456789abcdef\r\n"},
		EndlessEvent:         {chunked + "6\r\ndata: \r\n", "10\r\n0123456789abcdef\r\n"},
		EndlessGarbage:       {chunked, "10\r\n0123456789abcd\n\n\r\n"},
		EndlessAfter:         {responseHead + "Content-Length: 10\r\n\r\nown answer", "x"},
	}[behaviour]
	return pattern, ok
}

// LongestEndlessWrite returns the longest time for which a caller accepted an endless response.
func (e *Engine) LongestEndlessWrite() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.longestEndlessWrite
}

// writeEndless writes an endless response until the caller closes the connection. It returns false
// without writing if the behaviour is not an endless one.
func (e *Engine) writeEndless(w http.ResponseWriter, r *http.Request, behaviour Behaviour) bool {
	pattern, ok := endlessOf(behaviour, "HTTP/1.1 200 OK\r\n"+headerRequestID+": "+r.Header.Get(headerRequestID)+"\r\n"+headerServerStamp+": "+stampPrefix+e.ID+"\r\n")
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	begin := time.Now()
	_, err = io.WriteString(conn, pattern.begin)
	block := strings.Repeat(pattern.repeated, 1+endlessWriteBytes/len(pattern.repeated))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	e.longestEndlessWrite = max(e.longestEndlessWrite, time.Since(begin))
	return true
}
