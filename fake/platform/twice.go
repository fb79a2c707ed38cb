package platform

import (
	"bufio"
	"fmt"
	"net/http"
)

// respondTwice writes the response to another request and then the correct one on the same connection.
func (e *Engine) respondTwice(w http.ResponseWriter, r *http.Request, writeOther func(*bufio.ReadWriter)) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	writeOther(buffer)
	writeRawResponse(buffer, r.Header.Get(headerRequestID), stampPrefix+e.ID, OwnAnswer)
}

func writeRawResponse(buffer *bufio.ReadWriter, id, stamp, body string) {
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nMagnoliaspoke-Request-Id: %s\r\nMagnoliaspoke-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, len(body), body)
	_ = buffer.Flush()
}
