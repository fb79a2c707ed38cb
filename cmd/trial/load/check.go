package load

import (
	"io"
	"net/http"
)

// ReadAnswer reads an answer that was received by other means than Send and compares it with the
// text that the engine stand-in derives from the prompt.
func ReadAnswer(request Request, status int, body io.Reader) Answer {
	answer := Answer{Status: status}
	if status != http.StatusOK {
		answer.readRefusal(body)
		return answer
	}
	answer.readStream(body)
	answer.verifyText(request)
	return answer
}

// Encode returns the JSON body of a language request.
func Encode(request Request) ([]byte, error) { return encodeRequest(request) }
