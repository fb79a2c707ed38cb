package engine_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/fake/model"
)

// cutAfter returns the part of a stream up to the given number of events and some bytes of the next one.
func cutAfter(events, bytesOfNext int) func([]byte) []byte {
	return func(body []byte) []byte {
		end := 0
		for range events {
			end += bytes.Index(body[end:], []byte("\n\n")) + 2
		}
		return body[:end+bytesOfNext]
	}
}

// withoutLast returns a body without its last bytes.
func withoutLast(count int) func([]byte) []byte {
	return func(body []byte) []byte { return body[:len(body)-count] }
}

// Guards against streams without chunks that are reported as broken although they are whole, and against
// ones that ended before their end mark or were reset and that are reported as complete. Text of an event
// that is not whole must not be returned.
func TestUnframedStreamsAreCompleteOnlyWithEndMark(t *testing.T) {
	const allTokens = 20
	cases := []struct {
		name       string
		cut        func([]byte) []byte
		isReset    bool
		isComplete bool
		wantTokens spoke.TokenCount
	}{
		{name: "whole", isComplete: true, wantTokens: allTokens},
		{name: "ends after head", cut: cutAfter(0, 0)},
		{name: "ends inside first event", cut: cutAfter(0, 30)},
		{name: "ends inside event", cut: cutAfter(3, 30), wantTokens: 3},
		{name: "ends between events", cut: cutAfter(3, 0), wantTokens: 3},
		{name: "ends before end mark", cut: cutAfter(allTokens, 0), wantTokens: allTokens - 1},
		{name: "ends inside end mark", cut: cutAfter(allTokens, 8), wantTokens: allTokens - 1},
		{name: "ends without last empty line", cut: withoutLast(1), wantTokens: allTokens - 1},
		{name: "reset after head", cut: cutAfter(0, 0), isReset: true},
		{name: "reset inside event", cut: cutAfter(3, 30), isReset: true, wantTokens: 3},
		{name: "reset between events", cut: cutAfter(3, 0), isReset: true, wantTokens: 3},
		{name: "reset after end mark", isReset: true, isComplete: true, wantTokens: allTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, shape := range frame.Shapes() {
				shape.Cut, shape.IsReset = c.cut, c.isReset
				text, err := runInShape(t, shape, version)
				name := fmt.Sprintf("%s %s", shape.Version, shape.Connection)
				assert.Check(t, (err == nil) == c.isComplete, "%s: %v", name, err)
				if !c.isComplete {
					assert.Check(t, errors.Is(err, spoke.ErrIncomplete), "%s: %v", name, err)
					assert.Check(t, !errors.Is(err, spoke.ErrNotRun) && !errors.Is(err, spoke.ErrUpstreamDied), "%s: %v", name, err)
				}
				assert.Check(t, text == model.Answer("moon", version, 0, c.wantTokens), "%s: %q", name, text)
			}
		})
	}
}

// Guards against refusals without a length that are not taken for one, and against ones that a reset has cut
// short and that are.
func TestUnframedRefusalsCountOnlyIfWhole(t *testing.T) {
	const unknownVersion spoke.ModelVersion = "v0"
	for _, shape := range frame.Shapes() {
		_, err := runInShape(t, shape, unknownVersion)
		assert.Check(t, errors.Is(err, spoke.ErrNotRun) && errors.Is(err, spoke.ErrWrongVersion), "%v", err)
		shape.Cut = withoutLast(4)
		for _, shape.IsReset = range []bool{false, true} {
			_, err = runInShape(t, shape, unknownVersion)
			assert.Check(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", err)
		}
	}
}

// runInShape runs an attempt at an engine with responses of a shape and returns the text that was read.
func runInShape(t *testing.T, shape frame.Shape, wanted spoke.ModelVersion) (string, error) {
	t.Helper()
	eng := model.New(model.WithModel(modelName, version), model.WithPrefillRate(0), model.WithDecodeRate(0))
	t.Cleanup(eng.Close)
	handler := frame.New(eng)
	handler.SetShape(shape)
	client, spec := startClient(t), runSpec("a", "moon")
	spec.Version = wanted
	stream, err := client.Run(t.Context(), serve(t, handler), spec)
	if err != nil {
		return "", err
	}
	defer func() { assert.NilError(t, stream.Close()) }()
	text, _, err := readAll(t.Context(), stream)
	return text, err
}
