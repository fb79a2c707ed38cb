package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/logs"
)

// explainRequest waits for a line of a request that contains last, and returns all lines that spokectl
// explain prints for the request.
func (d *deployment) explainRequest(id, last string) string {
	d.t.Helper()
	var text string
	awaitTrue(d.t, "no line "+last, func() bool {
		entries, _, err := logs.ReadDirectory(d.logs)
		assert.NilError(d.t, err)
		var lines []string
		for _, entry := range logs.Explain(entries, spoke.RequestID(id)) {
			lines = append(lines, entry.Text())
		}
		text = strings.Join(lines, "\n")
		return strings.Contains(text, last)
	})
	d.t.Log("\n" + text)
	return text
}

func (d *deployment) metrics() string {
	d.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", d.settings.MetricsPort))
	assert.NilError(d.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(d.t, err)
	return string(body)
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "%q is not in:\n%s", part, text)
	}
}

// Guards against a refusal under load whose cause cannot be found by the request id.
func TestLogExplainsOverloadRefusal(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.Hang)
	large := func(id string) *http.Request {
		request := d.request(chatCall(id))
		request.Header.Set("Magnoliaspoke-Token-Usage", "90000,20")
		return request
	}
	for _, id := range []string{"first", "second"} {
		go func() {
			if response, err := http.DefaultClient.Do(large(id)); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	awaitTrue(t, "first call not sent", func() bool { return d.runs() == 1 })
	awaitTrue(t, "call not refused", func() bool {
		response, err := http.DefaultClient.Do(large("refused"))
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	assertContains(t, d.explainRequest("refused", "reason=overloaded"), "call refused", "backlog=", "retry-after=", "status=503")
	assertContains(t, d.metrics(), `"chat overloaded"`)
}

// Guards against a broken answer whose engine and fault cannot be found by the request id.
func TestLogExplainsBrokenStream(t *testing.T) {
	d := start(t, 1)
	d.setBehaviour(fake.ResetMidway)
	_, err := d.send(quoteCall("broken"))
	assert.ErrorContains(t, err, "unexpected EOF")
	assertContains(t, d.explainRequest("broken", "stream broken off"), "placed", "upstream=i-0", "stream began", "attempt failed", "may-have-run=true")
	assertContains(t, d.metrics(), `"quote broken-off"`)
}

// Guards against a refusal because of a stale configuration that looks like one for a wrong key.
func TestLogExplainsStaleConfigurationRefusal(t *testing.T) {
	d := start(t, 1)
	d.store.Refuse(true)
	awaitTrue(t, "unknown key is still denied", func() bool {
		return d.bookingStatus("stale", "key-2") == http.StatusServiceUnavailable
	})
	assertContains(t, d.explainRequest("stale", "unknown-key-stale"), "directory lost", "knowledge-age=", "table=1", "status=503")
	assertContains(t, d.metrics(), `"book unknown-key-stale"`)
}
