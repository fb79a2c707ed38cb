package model

import (
	"encoding/json"
	"net/http"

	"magnoliaspoke.example/spoke"
)

// foreignAttempt is the attempt ID of the chunks that the cross-streams fault injects.
const foreignAttempt spoke.AttemptID = "attempt-of-another-request"

// stream writes the server-sent events of a run; it writes nothing once the run is silenced.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	run     *run
}

func newStream(w http.ResponseWriter, current *run) *stream {
	return &stream{w: w, control: http.NewResponseController(w), run: current}
}

func (s *stream) sendText(offset spoke.TokenCount, text string) {
	s.sendChunk(s.newChunk(offset, text))
}

// sendForeign writes a chunk that carries the ID of another attempt.
func (s *stream) sendForeign(offset spoke.TokenCount) {
	chunk := s.newChunk(offset, "XXXX")
	chunk.Attempt = foreignAttempt
	s.sendChunk(chunk)
}

func (s *stream) sendFinal(offset spoke.TokenCount, text string, finish spoke.FinishReason, usage usageBody) {
	chunk := s.newChunk(offset, text)
	chunk.Choices[0].Finish = &finish
	chunk.Usage = &usage
	s.sendChunk(chunk)
}

func (s *stream) sendDone() { s.sendEvent([]byte("[DONE]")) }

func (s *stream) newChunk(offset spoke.TokenCount, text string) chunkBody {
	return chunkBody{
		ID:      s.run.body.Request,
		Attempt: s.run.body.Attempt,
		Version: s.run.body.Version,
		Offset:  offset,
		Choices: []choiceBody{{Text: text}},
	}
}

func (s *stream) sendChunk(chunk chunkBody) {
	// Encoding a chunk cannot fail.
	data, _ := json.Marshal(chunk)
	s.sendEvent(data)
}

func (s *stream) sendEvent(data []byte) {
	select {
	case <-s.run.silenced:
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

// flush ignores its error: the run's context ends when the client disconnects.
func (s *stream) flush() { _ = s.control.Flush() }
