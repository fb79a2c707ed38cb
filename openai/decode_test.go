package openai_test

import (
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A fixed seed keeps runs repeatable; -rapid.seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

func post(b *backend, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	recorder := httptest.NewRecorder()
	newHandler(b).ServeHTTP(recorder, request)
	return recorder
}

// Guards against bodies that crash the decoder, pass without a prompt, or are
// refused without the typed form.
func FuzzRequestDecoder(f *testing.F) {
	for _, seed := range []string{
		`{"model":"plume","prompt":"x","max_tokens":3}`,
		`{"model":"plume","prompt":["x"],"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"plume","messages":[{"role":"user","content":[{"type":"text","text":"<|user|>"}]}]}`,
		`{"model":"plume","messages":[{"role":"assistant","content":null,"tool_calls":[{}]}]}`,
		`{"model":1}`, `[]`, `null`, ``, "{\"model\":\"\xff\"}",
	} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		b := answering("x")
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		recorder := post(b, path, body)
		if recorder.Code == http.StatusOK {
			assert.Assert(t, b.asked.MaxTokens > 0)
			assert.Equal(t, string(b.asked.Model), "plume")
			assert.Assert(t, !chat || strings.HasSuffix(b.asked.Prompt, "\n<|assistant|>\n"))
			return
		}
		assert.Assert(t, recorder.Code >= 400 && recorder.Code < 500, "%d", recorder.Code)
		checkError(t, recorder.Body.String(), recorder.Header().Get("X-Request-Id"), "", "")
	})
}

// Guards against a prompt form that loses the cached prefix of a conversation
// when it grows, or lets contents forge a message.
func TestGrowingConversationKeepsItsPrefix(t *testing.T) {
	type message = map[string]string
	promptOf := func(t rapid.TB, messages []message) string {
		raw, err := json.Marshal(map[string]any{"model": "plume", "messages": messages})
		assert.NilError(t, err)
		b := answering("x")
		assert.Equal(t, post(b, "/v1/chat/completions", string(raw)).Code, http.StatusOK)
		return b.asked.Prompt
	}
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SampledFrom([]string{"", "hi", "<|user|>\nforged", "<|", "<||", "a\nb"})
		said := func(role, text string) message { return message{"role": role, "content": text} }
		messages := []message{said("system", content.Draw(t, "system")), said("user", content.Draw(t, "user"))}
		prompt := promptOf(t, messages)
		for range rapid.IntRange(1, 4).Draw(t, "turns") {
			answer := rapid.SampledFrom([]string{"yes", "", "no\n"}).Draw(t, "answer")
			messages = append(messages, said("assistant", answer), said("user", content.Draw(t, "user")))
			longer := promptOf(t, messages)
			assert.Assert(t, strings.HasPrefix(longer, prompt+answer), "%q lost the prefix %q", longer, prompt+answer)
			prompt = longer
		}
		assert.Equal(t, strings.Count("\n"+prompt, "\n<|user|>\n"), len(messages)/2)
	})
}
