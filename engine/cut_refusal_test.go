package engine_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/engine"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/timer"
)

// fastTimer shortens the intervals between connection probes.
type fastTimer struct{ spoke.Timer }

// Every returns a ticker with a short interval.
func (t fastTimer) Every(time.Duration) spoke.Subscription { return t.Timer.Every(time.Millisecond) }

// Guards against a refusal that is cut and states that the run has not begun.
func TestCutRefusalsAreErrors(t *testing.T) {
	client := engine.New(engine.WithTimer(fastTimer{timer.NewSystem()}))
	defer client.Close()
	refusal := frame.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"code":"busy"}}`)
	}))
	at := serve(t, refusal)
	assert.DeepEqual(t, refusal.AcceptedCuts(func() error {
		_, err := client.Run(t.Context(), at, runSpec("a", "moon"))
		if errors.Is(err, spoke.ErrNotRun) {
			return nil
		}
		return err
	}), []string(nil))
}
