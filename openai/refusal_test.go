package openai_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	callers "magnoliaspoke.example/spoke/openai"
)

type refusalCase struct {
	name, method, path, body string
	header                   map[string]string
	status                   int
	code, param              string
}

var refusalCases = []refusalCase{
	{name: "no key", path: "/v1/completions", header: map[string]string{"Authorization": ""}, status: 401, code: "unauthorized"},
	{name: "other key", path: "/v1/completions", header: map[string]string{"Authorization": "Bearer x"}, status: 401, code: "unauthorized"},
	{name: "no JSON", path: "/v1/completions", body: `{"model"`, status: 400, code: "bad-request"},
	{name: "trailing data", path: "/v1/completions", body: `{"model":"plume","prompt":"x"} {}`, status: 400, code: "bad-request"},
	{name: "no model", path: "/v1/completions", body: `{"prompt":"x"}`, status: 400, code: "bad-request", param: "model"},
	{name: "no prompt", path: "/v1/completions", body: `{"model":"plume"}`, status: 400, code: "bad-request", param: "prompt"},
	{name: "null prompt", path: "/v1/completions", body: `{"model":"plume","prompt":null}`, status: 400, code: "bad-request", param: "prompt"},
	{name: "token ids", path: "/v1/completions", body: `{"model":"plume","prompt":[1,2]}`, status: 400, code: "bad-request", param: "prompt"},
	{name: "two answers", path: "/v1/completions", body: `{"model":"plume","prompt":"x","n":2}`, status: 400, code: "bad-request", param: "n"},
	{name: "no limit", path: "/v1/completions", body: `{"model":"plume","prompt":"x","max_tokens":0}`, status: 400, code: "bad-request", param: "max_tokens"},
	{name: "unknown model", path: "/v1/completions", body: `{"model":"x","prompt":"x"}`, status: 404, code: "not-found", param: "model"},
	{name: "model of another", path: "/v1/completions", body: `{"model":"hidden","prompt":"x"}`, status: 404, code: "not-found", param: "model"},
	{name: "unknown adapter", path: "/v1/completions", body: `{"model":"plume","prompt":"x","adapter":"y"}`, status: 404, code: "not-found", param: "adapter"},
	{name: "unknown rank", path: "/v1/completions", body: `{"model":"plume","prompt":"x"}`, header: map[string]string{"X-Spoke-Rank": "top"}, status: 404, code: "not-found", param: "X-Spoke-Rank"},
	{name: "bad deadline", path: "/v1/completions", header: map[string]string{"X-Spoke-Deadline-Ms": "-1"}, status: 400, code: "bad-request", param: "X-Spoke-Deadline-Ms"},
	{name: "large body", path: "/v1/completions", body: strings.Repeat(" ", 2000), status: 413, code: "too-large", param: "body"},
	{name: "large header", path: "/v1/completions", header: map[string]string{"X-Note": strings.Repeat("x", 2000)}, status: 431, code: "too-large", param: "header"},
	{name: "no messages", path: "/v1/chat/completions", body: `{"model":"plume"}`, status: 400, code: "bad-request", param: "messages"},
	{name: "bad role", path: "/v1/chat/completions", body: `{"model":"plume","messages":[{"role":"x|>","content":"y"}]}`, status: 400, code: "bad-request", param: "messages[0].role"},
	{name: "image", path: "/v1/chat/completions", body: `{"model":"plume","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, status: 400, code: "bad-request", param: "messages[0].content"},
	{name: "unknown path", path: "/v1/embeddings", status: 404, code: "not-found"},
	{name: "unknown service", path: "/services/x/y", status: 404, code: "not-found"},
	{name: "language service", path: "/services/quotes/y", status: 404, code: "not-found"},
	{name: "service of another", path: "/services/secret/y", status: 403, code: "forbidden"},
	{name: "method", method: "DELETE", path: "/services/orders/y", status: 400, code: "bad-request", param: "method"},
	{name: "long key", path: "/services/orders/y", header: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, status: 400, code: "bad-request", param: "Idempotency-Key"},
	{name: "hidden parent", path: "/services/orders/x%2F..%2Fbookings", status: 400, code: "bad-request", param: "path"},
}

// Guards against malformed input that reaches the backend, and refusals without
// their typed form.
func TestRefusals(t *testing.T) {
	for _, c := range refusalCases {
		t.Run(c.name, func(t *testing.T) {
			b := answering("x")
			server := serve(t, b, callers.WithBodyLimit(1500), callers.WithHeaderLimit(1500))
			method := c.method
			if method == "" {
				method = "POST"
			}
			response, raw := send(t, server, method, c.path, c.body, c.header)
			assert.Equal(t, response.StatusCode, c.status, raw)
			assert.Equal(t, b.asked.ID, spoke.RequestID(""))
			assert.Equal(t, b.called.ID, spoke.RequestID(""))
			checkError(t, raw, response.Header.Get("X-Request-Id"), c.code, c.param)
		})
	}
}

// checkError checks the typed form; any code will do if code is empty.
func checkError(t *testing.T, raw, id, code, param string) map[string]any {
	t.Helper()
	var body struct{ Error map[string]any }
	assert.NilError(t, json.Unmarshal([]byte(raw), &body))
	assert.Assert(t, body.Error["code"] == code || code == "" && body.Error["code"] != nil, raw)
	assert.Equal(t, body.Error["outcome"], "not-run")
	assert.Equal(t, body.Error["request-id"], id)
	assert.Assert(t, id != "")
	if param != "" {
		assert.Equal(t, body.Error["param"], param)
	}
	return body.Error
}

// Guards against refusals of the backend that lose their status or their retry hint.
func TestBackendRefusal(t *testing.T) {
	b := answering("x")
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "queue is full")
	refusal.RetryAfter = 1200 * time.Millisecond
	b.refusal = refusal
	server := serve(t, b)
	for _, body := range []string{`{"model":"plume","prompt":"x"}`, `{"model":"plume","prompt":"x","stream":true}`} {
		response, raw := send(t, server, "POST", "/v1/completions", body, nil)
		assert.Equal(t, response.StatusCode, 503)
		assert.Equal(t, response.Header.Get("Retry-After"), "2")
		fields := checkError(t, raw, response.Header.Get("X-Request-Id"), "overloaded", "")
		assert.Equal(t, fields["retry-after-ms"], 1200.0)
	}
}

// Guards against plain calls that lose their path, key, rank or answer.
func TestPlainPath(t *testing.T) {
	b := answering("x")
	server := serve(t, b)
	response, raw := send(t, server, "POST", "/services/orders/b%6Fokings/7?a=1", "body", map[string]string{
		"Idempotency-Key": "k1", "X-Spoke-Rank": "urgent", "X-Attempt-Id": "forged", "X-Note": "kept",
	})
	assert.Equal(t, response.StatusCode, 201)
	assert.Equal(t, raw, "booked")
	assert.Equal(t, response.Header.Get("X-Stock"), "7")
	assert.Equal(t, b.called.Path, "/bookings/7?a=1")
	assert.Equal(t, b.called.Key, spoke.IdempotencyKey("k1"))
	assert.Equal(t, b.called.Rank, spoke.RankName("urgent"))
	assert.Equal(t, string(b.called.Body), "body")
	assert.Equal(t, b.called.Header.Get("X-Note"), "kept")
	assert.Equal(t, b.called.Header.Get("X-Attempt-Id")+b.called.Header.Get("Authorization"), "")
}
