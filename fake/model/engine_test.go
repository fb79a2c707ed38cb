package model_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/model"
)

// call sends one request to the engine; an aborted connection is reported as status 0.
func call(engine *model.Engine, method, path, body string) (status int, response string) {
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	engine.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

func complete(engine *model.Engine, attempt, version string, priority, tokens int) (int, string) {
	return call(engine, http.MethodPost, "/v1/completions", fmt.Sprintf(
		`{"model":"quill","prompt":"moon","max_tokens":%d,"priority":%d,"attempt_id":%q,"version":%q}`,
		tokens, priority, attempt, version))
}

func startEngine(t *testing.T, opts ...model.Option) *model.Engine {
	t.Helper()
	engine := model.New(append([]model.Option{
		model.WithModel("quill", "v1"), model.WithPrefillRate(0), model.WithDecodeRate(10), model.WithSlowdown(0),
	}, opts...)...)
	t.Cleanup(engine.Close)
	return engine
}

// Guards against a swap that changes the version of a run in progress, that starts new or
// waiting runs on either version while it loads, or that never completes.
func TestSwapKeepsVersionOfRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, model.WithSwapTime(300*time.Millisecond), model.WithMaxBatch(1))
		var status [2]int
		var text [2]string
		for i := range 2 {
			go func() { status[i], text[i] = complete(engine, fmt.Sprint("a", i), "v1", i, 20) }()
			synctest.Wait()
		}
		order := `{"kind":"load-version","model":"quill","version":"v2","fencing-token":1}`
		code, _ := call(engine, http.MethodPost, "/orders", order)
		assert.Equal(t, code, http.StatusOK)
		synctest.Wait()
		assert.Equal(t, status[1], http.StatusConflict, "a waiting run is refused")
		code, response := complete(engine, "b", "", 0, 1)
		assert.Equal(t, code, http.StatusConflict)
		assert.Assert(t, strings.Contains(response, "wrong-version"))

		<-time.After(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, status[0], http.StatusOK)
		assert.Equal(t, strings.Count(text[0], `"version":"v1"`), 20)
		assert.Assert(t, strings.HasSuffix(text[0], "data: [DONE]\n\n"))
		code, response = complete(engine, "c", "v2", 0, 1)
		assert.Equal(t, code, http.StatusOK)
		assert.Assert(t, strings.Contains(response, model.Token("moon", "v2", 0)))
	})
}

// Guards against waiting runs that start in order of arrival instead of by priority.
func TestWaitingRunsStartByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, model.WithMaxBatch(1))
		finished := make(chan int, 4)
		for _, priority := range []int{0, 9, 5, 1} {
			go func() {
				complete(engine, fmt.Sprint("p", priority), "v1", priority, 5)
				finished <- priority
			}()
			synctest.Wait()
		}
		for _, want := range []int{0, 1, 5, 9} {
			assert.Equal(t, <-finished, want)
		}
	})
}

// Guards against a batch that decodes as fast as a single run, and against a prefill that
// takes no time.
func TestPrefillAndDecodeDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, model.WithSlowdown(0.5), model.WithPrefillRate(1), model.WithDecodeRate(10))
		started := time.Now()
		complete(engine, "a", "v1", 0, 10)
		assert.Equal(t, time.Since(started), 2*time.Second, "1 prompt token and 10 generated tokens")

		started = time.Now()
		done := make(chan struct{})
		go func() {
			complete(engine, "b", "v1", 0, 10)
			close(done)
		}()
		complete(engine, "c", "v1", 0, 10)
		<-done
		took := time.Since(started)
		assert.Assert(t, took > 3*time.Second && took < 4*time.Second, "%s", took)
	})
}

// Guards against cache events that are visible before their delay, and against lost events that
// leave no gap in the sequence.
func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, model.WithEvents(time.Second, 0.5, 7))
		body := fmt.Sprintf(`{"model":"quill","prompt":%q,"max_tokens":1,"attempt_id":"a"}`, strings.Repeat("x", int(20*spoke.PieceSize)))
		code, _ := call(engine, http.MethodPost, "/v1/completions", body)
		assert.Equal(t, code, http.StatusOK)
		read := func() (events, next int) {
			var page struct {
				Events []struct{ Seq int }
				Next   int
			}
			_, response := call(engine, http.MethodGet, "/cache-events?after=0", "")
			assert.NilError(t, json.Unmarshal([]byte(response), &page))
			return len(page.Events), page.Next
		}
		events, next := read()
		assert.Equal(t, events+next, 0)
		<-time.After(time.Second)
		events, next = read()
		assert.Equal(t, next, 20)
		assert.Assert(t, events > 0 && events < 20, "%d events", events)
	})
}

// Guards against a load report that is more recent than the configured lag.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, model.WithLoadLag(time.Second))
		<-time.After(2 * time.Second)
		go complete(engine, "a", "v1", 0, 50)
		synctest.Wait()
		running := func() int {
			var report struct{ Running int }
			_, response := call(engine, http.MethodGet, "/load", "")
			assert.NilError(t, json.Unmarshal([]byte(response), &report))
			return report.Running
		}
		assert.Equal(t, running(), 0)
		<-time.After(time.Second)
		assert.Equal(t, running(), 1)
		<-time.After(5 * time.Second)
	})
}

// Guards against an engine that continues to serve after the prompt that makes it crash.
func TestCrashStopsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashed := 0
		engine := startEngine(t, model.WithCrash("moon", func() { crashed++ }))
		status, _ := complete(engine, "a", "v1", 0, 5)
		assert.Equal(t, status, 0)
		status, _ = call(engine, http.MethodGet, "/load", "")
		assert.Equal(t, status, 0)
		assert.Equal(t, crashed, 1)
		assert.NilError(t, engine.Wait(context.Background()))
	})
}
