package frame

import (
	"io"
	"net/http"
	"strings"
)

// endlessBlock is the number of repetitions in one write.
const endlessBlock = 512

// Endless returns a handler that answers with the beginning of a response and then with the same bytes, until the caller
// closes the connection.
func Endless(begin, repeated string) http.Handler {
	block := strings.Repeat(repeated, endlessBlock)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		for _, err = io.WriteString(conn, begin); err == nil; {
			_, err = io.WriteString(conn, block)
		}
	})
}
