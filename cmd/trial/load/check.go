package load

import (
	"io"
	"net/http"
)

// Check reads an answer that was received by other means than Send and compares it with the
// fixed text of the engine stand-in.
func ReadAnswer(ask Request, status int, body io.Reader) Answer {
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
func Encode(ask Request) ([]byte, error) { return encodeAsk(ask) }
