package load

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	completionJSON struct {
		Model         string            `json:"model"`
		Prompt        string            `json:"prompt"`
		MaxTokens     int64             `json:"max_tokens"`
		Stream        bool              `json:"stream"`
		StreamOptions streamOptionsJSON `json:"stream_options"`
	}

	streamOptionsJSON struct {
		IncludeUsage bool `json:"include_usage"`
	}

	chunkJSON struct {
		Choices []choiceJSON `json:"choices"`
		Usage   *usageJSON   `json:"usage"`
		Error   *errorJSON   `json:"error"`
	}

	choiceJSON struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	}

	usageJSON struct {
		Prompt     int64       `json:"prompt_tokens"`
		Completion int64       `json:"completion_tokens"`
		Details    detailsJSON `json:"prompt_tokens_details"`
	}

	detailsJSON struct {
		Cached int64 `json:"cached_tokens"`
	}

	failureJSON struct {
		Error errorJSON `json:"error"`
	}

	errorJSON struct {
		Message    string `json:"message"`
		Code       string `json:"code"`
		Outcome    string `json:"outcome"`
		RetryAfter int64  `json:"retry-after-ms"`
	}
)

func encodeAsk(ask Request) ([]byte, error) {
	body, err := json.Marshal(completionJSON{
		Model: string(ask.Model), Prompt: ask.Prompt, MaxTokens: int64(ask.MaxTokens), Stream: true,
		StreamOptions: streamOptionsJSON{IncludeUsage: true},
	})
	return body, eris.Wrap(err, "encode request")
}

func (e errorJSON) refusal() *spoke.Refusal {
	return &spoke.Refusal{
		Code: spoke.RefusalCode(e.Code), Outcome: spoke.Outcome(e.Outcome), Message: e.Message,
		RetryAfter: time.Duration(e.RetryAfter) * time.Millisecond,
	}
}

func (u usageJSON) usage() spoke.Usage {
	return spoke.Usage{
		Prompt:     spoke.TokenCount(u.Prompt),
		Completion: spoke.TokenCount(u.Completion),
		Cached:     spoke.TokenCount(u.Details.Cached),
	}
}

func decodeChunk(text []byte) (chunkJSON, error) {
	var chunk chunkJSON
	err := json.Unmarshal(text, &chunk)
	return chunk, eris.Wrapf(err, "decode chunk %q", text)
}

func decodeFailure(body []byte) (*spoke.Refusal, error) {
	var failure failureJSON
	if err := json.Unmarshal(body, &failure); err != nil {
		return nil, eris.Wrapf(err, "decode error %q", body)
	}
	return failure.Error.refusal(), nil
}
