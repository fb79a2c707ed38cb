package host_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fake/frame"
)

const completionsPath = "/v1/completions"

// cutPoints lists places at which a stream of an engine is cut. In the first event there is no whole piece.
var cutPoints = map[string]func(body []byte) []byte{
	"first event":    func(body []byte) []byte { return body[:30] },
	"later event":    func(body []byte) []byte { return body[:len(body)/2] },
	"between events": func(body []byte) []byte { return body[:bytes.LastIndex(body[:len(body)/2], []byte("\n\n"))+2] },
	"end mark":       func(body []byte) []byte { return body[:len(body)-4] },
}

// Guards against an answer of an engine without chunks that reaches the caller cut or with repeated text,
// directly or over another host, after the engine's stream was whole, ended early once, or was reset once.
func TestUnframedStreamsReachCallersWhole(t *testing.T) {
	p := startPair(t)
	for i, shape := range frame.Shapes() {
		t.Run(shape.Version+" "+shape.Connection, func(t *testing.T) {
			t.Parallel()
			shape.Path = completionsPath
			p.checkWhole(t, i, shape, "whole")
			for point, cut := range cutPoints {
				for _, shape.IsReset = range []bool{false, true} {
					var isCut atomic.Bool
					shape.Cut = cutOnce(cut, &isCut)
					p.checkWhole(t, i, shape, fmt.Sprintf("cut at %s, reset %t", point, shape.IsReset))
					assert.Check(t, isCut.Load())
				}
			}
		})
	}
}

// cutOnce cuts only the first body and records that it did.
func cutOnce(cut func([]byte) []byte, isCut *atomic.Bool) func([]byte) []byte {
	return func(body []byte) []byte {
		if isCut.Swap(true) {
			return body
		}
		return cut(body)
	}
}

func (p *hostPair) checkWhole(t *testing.T, service int, shape frame.Shape, prompt string) {
	t.Helper()
	p.engines[service].SetShape(shape)
	a := p.servers[0].startCompletion(t, service, prompt)
	a.readAll(t, prompt)
	assert.Check(t, a.hasEndMark, prompt)
}

// Guards against a stream that looks complete to its caller, or a completion that is answered as a success or
// as not run, although every stream of the engine ended early.
func TestBrokenUnframedStreamsNeverLookComplete(t *testing.T) {
	p := startPair(t)
	for i, shape := range frame.Shapes() {
		t.Run(shape.Version+" "+shape.Connection, func(t *testing.T) {
			t.Parallel()
			shape.Path, shape.Cut, shape.IsReset = completionsPath, cutPoints["first event"], i%2 == 0
			p.engines[i].SetShape(shape)
			status, answer := p.servers[0].complete(t, fmt.Sprintf(`{"model":"m%d","prompt":"moon","max_tokens":%d}`, i, answerTokens))
			assert.Check(t, status >= http.StatusInternalServerError, "%d %s", status, answer)
			assert.Check(t, strings.Contains(answer, `"outcome":"outcome-unknown"`), "%d %s", status, answer)

			var hasBegun atomic.Bool
			shape.Cut = func(body []byte) []byte {
				if hasBegun.Swap(true) {
					return cutPoints["first event"](body)
				}
				return cutPoints["later event"](body)
			}
			p.engines[i].SetShape(shape)
			a := p.servers[0].startCompletion(t, i, "moon")
			a.readAll(t, "moon")
			assert.Check(t, !a.hasEndMark && a.text != "")
			assert.Check(t, errors.Is(a.lines.Err(), io.ErrUnexpectedEOF), "%v", a.lines.Err())
		})
	}
}

// complete sends a completion request to the caller API of a host and returns the answer.
func (s *loopbackHost) complete(t *testing.T, body string) (status int, answer string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.listeners.Caller.Addr().String()+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(raw)
}
