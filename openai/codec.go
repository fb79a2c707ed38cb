package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"magnoliaspoke.example/spoke"
)

// maxTokenLimit is the largest token limit that a request may set.
const maxTokenLimit = 1 << 20

type (
	// completionBody is the request body of completions and of chat completions; unknown fields
	// are ignored.
	completionBody struct {
		Model               string            `json:"model"`
		Prompt              json.RawMessage   `json:"prompt"`
		Messages            []messageBody     `json:"messages"`
		Adapter             string            `json:"adapter"`
		MaxTokens           *int64            `json:"max_tokens"`
		MaxCompletionTokens *int64            `json:"max_completion_tokens"`
		Stream              bool              `json:"stream"`
		StreamOptions       *streamOptions    `json:"stream_options"`
		N                   *int64            `json:"n"`
		BestOf              *int64            `json:"best_of"`
		Echo                bool              `json:"echo"`
		Suffix              string            `json:"suffix"`
		Stop                json.RawMessage   `json:"stop"`
		Logprobs            json.RawMessage   `json:"logprobs"`
		Tools               []json.RawMessage `json:"tools"`
	}

	streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}

	messageBody struct {
		Role      string            `json:"role"`
		Content   json.RawMessage   `json:"content"`
		ToolCalls []json.RawMessage `json:"tool_calls"`
	}

	partBody struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	usageBody struct {
		PromptTokens     spoke.TokenCount `json:"prompt_tokens"`
		CompletionTokens spoke.TokenCount `json:"completion_tokens"`
		TotalTokens      spoke.TokenCount `json:"total_tokens"`
		Details          promptDetails    `json:"prompt_tokens_details"`
	}

	promptDetails struct {
		CachedTokens spoke.TokenCount `json:"cached_tokens"`
	}

	responseBody struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []choiceBody `json:"choices"`
		Usage   *usageBody   `json:"usage,omitempty"`
	}

	choiceBody struct {
		Index        int        `json:"index"`
		Text         *string    `json:"text,omitempty"`
		Message      *deltaBody `json:"message,omitempty"`
		Delta        *deltaBody `json:"delta,omitempty"`
		Logprobs     *string    `json:"logprobs"`
		FinishReason *string    `json:"finish_reason"`
	}

	deltaBody struct {
		Role    string  `json:"role,omitempty"`
		Content *string `json:"content,omitempty"`
	}

	modelBody struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}

	modelList struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}

	errorBody struct {
		Error errorFields `json:"error"`
	}

	errorFields struct {
		Message    string  `json:"message"`
		Type       string  `json:"type"`
		Code       string  `json:"code"`
		Param      *string `json:"param"`
		RequestID  string  `json:"request-id"`
		Outcome    string  `json:"outcome"`
		RetryAfter int64   `json:"retry-after-ms,omitempty"`
	}
)

// decodeCompletion decodes and validates a request body; chat selects chat completions.
func decodeCompletion(raw []byte, chat bool) (completionBody, error) {
	var body completionBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&body); err != nil {
		return body, badField("", "the body is no valid request: %s", err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself.
		return body, badField("", "data follows the JSON value of the body")
	}
	if body.Model == "" {
		return body, badField("model", "the field model is missing")
	}
	if err := body.checkUnsupported(); err != nil {
		return body, err
	}
	if chat && len(body.Messages) == 0 {
		return body, badField("messages", "the field messages is empty")
	}
	_, err := body.tokenLimit(0)
	return body, err
}

// checkUnsupported returns a refusal if a field would change the structure of the response.
func (b *completionBody) checkUnsupported() error {
	unsetOrOne := func(value *int64) bool { return value == nil || *value == 1 }
	fields := []struct {
		name string
		ok   bool
	}{
		{"n", unsetOrOne(b.N)},
		{"best_of", unsetOrOne(b.BestOf)},
		{"echo", !b.Echo},
		{"suffix", b.Suffix == ""},
		{"stop", isUnset(b.Stop)},
		{"logprobs", isUnset(b.Logprobs)},
		{"tools", len(b.Tools) == 0},
	}
	for _, field := range fields {
		if !field.ok {
			return badField(field.name, "the value of the field %s is not supported", field.name)
		}
	}
	return nil
}

func isUnset(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "false", "[]", "0":
		return true
	}
	return false
}

// tokenLimit returns the token limit of the request, or defaultLimit if the request sets none.
func (b *completionBody) tokenLimit(defaultLimit spoke.TokenCount) (spoke.TokenCount, error) {
	name, value := "max_tokens", b.MaxTokens
	if b.MaxCompletionTokens != nil {
		name, value = "max_completion_tokens", b.MaxCompletionTokens
	}
	if value == nil {
		return defaultLimit, nil
	}
	if *value < 1 || *value > maxTokenLimit {
		return 0, badField(name, "%d is no token limit from 1 to %d", *value, maxTokenLimit)
	}
	return spoke.TokenCount(*value), nil
}

// promptText returns the prompt of a completion: a string or an array of one string.
func (b *completionBody) promptText() (string, error) {
	var text string
	if json.Unmarshal(b.Prompt, &text) == nil && !isUnset(b.Prompt) {
		return text, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", badField("prompt", "the field prompt is neither a string nor an array of one string")
}

// joinMessages returns the prompt of a chat in the format described in doc.go.
func joinMessages(messages []messageBody) (string, error) {
	var prompt strings.Builder
	for i, message := range messages {
		param := fmt.Sprintf("messages[%d]", i)
		if !isRole(message.Role) {
			return "", badField(param+".role", "unknown role %q", message.Role)
		}
		if len(message.ToolCalls) > 0 {
			return "", badField(param+".tool_calls", "tool calls are not supported")
		}
		content, ok := contentText(message.Content)
		if !ok {
			return "", badField(param+".content", "the content is neither a string nor an array of text parts")
		}
		prompt.WriteString("<|" + message.Role + "|>\n")
		prompt.WriteString(strings.ReplaceAll(content, "<|", "<||"))
		prompt.WriteString("\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

func isRole(role string) bool {
	switch role {
	case "system", "developer", "user", "assistant", "tool":
		return true
	}
	return false
}

func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil && string(raw) != "null" {
		return text, true
	}
	var parts []partBody
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return "", false
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", false
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), true
}

func encodeUsage(usage spoke.Usage) *usageBody {
	return &usageBody{
		PromptTokens:     usage.Prompt,
		CompletionTokens: usage.Completion,
		TotalTokens:      usage.Prompt + usage.Completion,
		Details:          promptDetails{CachedTokens: usage.Cached},
	}
}

func encodeRefusal(refusal *spoke.Refusal) errorBody {
	fields := errorFields{
		Message:    refusal.Message,
		Type:       errorType(refusal.Code),
		Code:       string(refusal.Code),
		RequestID:  string(refusal.Request),
		Outcome:    string(refusal.Outcome),
		RetryAfter: refusal.RetryAfter.Milliseconds(),
	}
	if refusal.Param != "" {
		fields.Param = &refusal.Param
	}
	return errorBody{Error: fields}
}
