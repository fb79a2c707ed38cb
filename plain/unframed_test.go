package plain_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/frame"
	standin "magnoliaspoke.example/spoke/fake/plain"
	"magnoliaspoke.example/spoke/plain"
)

// Guards against answers without a length that are cut or refused although they are whole, and against ones
// that a reset has cut short and that look complete. Such a call has run and must not be reported as not run.
func TestUnframedAnswersCountOnlyIfWhole(t *testing.T) {
	client := plain.NewClient()
	defer client.Close()
	cut := func(body []byte) []byte { return body[:len(body)/2] }
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		for _, body := range []string{"", "short", strings.Repeat("long", 100<<10)} {
			handler := frame.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			}))
			_, at := startServer(t, handler)
			for _, shape := range frame.Shapes() {
				for _, isFresh := range []bool{false, true} {
					call := spoke.PlainCall{Request: "r", Attempt: "r-1", Method: http.MethodPost, Path: "/bookings", FreshConnection: isFresh}
					handler.SetShape(shape)
					answer, err := client.Call(context.Background(), at, call)
					assert.NilError(t, err)
					assert.Equal(t, answer.Status, status)
					assert.Equal(t, string(answer.Body), body)

					broken := shape
					broken.Cut, broken.IsReset = cut, true
					handler.SetShape(broken)
					_, err = client.Call(context.Background(), at, call)
					assert.Assert(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", err)
				}
			}
		}
	}
}

// Guards against a booking that runs again, or is reported as not run, after its answer without a length was
// reset, and against one whose whole answer is not recorded.
func TestBookingWithUnframedAnswer(t *testing.T) {
	client := plain.NewClient()
	defer client.Close()
	service := standin.New()
	handler := frame.New(service)
	_, at := startServer(t, handler)
	e := newExecutor(directDispatcher{client: client, at: at}, newFakeClaims(), plain.WithTimeouts(time.Second, time.Second))
	defer e.Wait()

	shape := frame.Shapes()[0]
	handler.SetShape(shape)
	first, err := e.Call(context.Background(), booking("r1", "a", "x"))
	assert.NilError(t, err)
	again, err := e.Call(context.Background(), booking("r2", "a", "x"))
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Body, first.Body)
	assert.Equal(t, service.Runs().ByKey["a"], 1)

	shape.IsReset = true
	handler.SetShape(shape)
	_, err = e.Call(context.Background(), booking("r3", "b", "x"))
	assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
	_, err = e.Call(context.Background(), booking("r4", "b", "x"))
	assert.Equal(t, refusalIn(err).Code, spoke.CodeAlreadyRun)
	assert.Equal(t, service.Runs().ByKey["b"], 1)
}
