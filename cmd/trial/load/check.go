package load

import (
	"io"
	"net/http"
)

// Check reads an answer that was received by other means than Send and compares it with the
// fixed text of the engine stand-in.
func Check(ask Ask, status int, body io.Reader) Answer {
	answer := Answer{Status: status}
	if status != http.StatusOK {
		answer.refuse(body)
		return answer
	}
	answer.read(body)
	answer.check(ask)
	return answer
}

// Encode returns the body of a language request.
func Encode(ask Ask) ([]byte, error) { return encodeAsk(ask) }
