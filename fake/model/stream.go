package model

import (
	"encoding/json"
	"net/http"

	"magnoliaspoke.example/spoke"
)

// foreignAttempt is the attempt id of the pieces that the cross-streams fault mixes in.
const foreignAttempt spoke.AttemptID = "attempt-of-another-request"

// stream writes the server-sent events of a run; a silenced run writes nothing.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	own     *run
}

func newStream(w http.ResponseWriter, own *run) *stream {
	return &stream{w: w, control: http.NewResponseController(w), own: own}
}

func (s *stream) piece(offset spoke.TokenCount, text string) {
	s.write(s.chunk(offset, text))
}

// foreign writes a piece as if it belonged to another attempt.
func (s *stream) foreign(offset spoke.TokenCount) {
	chunk := s.chunk(offset, "XXXX")
	chunk.Attempt = foreignAttempt
	s.write(chunk)
}

func (s *stream) last(offset spoke.TokenCount, text string, finish spoke.FinishReason, usage usageBody) {
	chunk := s.chunk(offset, text)
	chunk.Choices[0].Finish = &finish
	chunk.Usage = &usage
	s.write(chunk)
}

func (s *stream) done() { s.send([]byte("[DONE]")) }

func (s *stream) chunk(offset spoke.TokenCount, text string) chunkBody {
	return chunkBody{
		ID:      s.own.body.Request,
		Attempt: s.own.body.Attempt,
		Version: s.own.body.Version,
		Offset:  offset,
		Choices: []choiceBody{{Text: text}},
	}
}

func (s *stream) write(chunk chunkBody) {
	// The chunk has no member that cannot be encoded.
	data, _ := json.Marshal(chunk)
	s.send(data)
}

func (s *stream) send(data []byte) {
	select {
	case <-s.own.silent:
		return
	default:
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, _ = s.w.Write(event)
	s.flush()
}

// flush ignores its error: the run learns of a lost client from its context.
func (s *stream) flush() { _ = s.control.Flush() }
