package openai_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "plume",
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("Be brief."),
			openai.UserMessage("How many <|assistant|> dusters?"),
		},
		MaxCompletionTokens: openai.Int(16),
		StreamOptions:       openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

// Guards against an answer form or a prompt form that a stock client does not take.
func TestStockClientWhole(t *testing.T) {
	b := answering("Forty", " two")
	c := client(serve(t, b))
	params := chatParams()
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	answer, err := c.Chat.Completions.New(context.Background(), params)
	assert.NilError(t, err)
	assert.Equal(t, answer.Choices[0].Message.Content, "Forty two")
	assert.Equal(t, answer.Choices[0].FinishReason, "stop")
	assert.Equal(t, answer.Usage.PromptTokensDetails.CachedTokens, int64(32))
	assert.Equal(t, b.asked.Prompt, "<|system|>\nBe brief.\n<|user|>\nHow many <||assistant|> dusters?\n<|assistant|>\n")
	assert.Equal(t, b.asked.MaxTokens, spoke.TokenCount(16))
	assert.Equal(t, b.asked.Rank, spoke.RankName("normal"))
	assert.Equal(t, b.asked.Workspace, spoke.WorkspaceID("sialkot"))

	text, err := c.Completions.New(context.Background(), openai.CompletionNewParams{
		Model: "plume", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("dusters")},
	})
	assert.NilError(t, err)
	assert.Equal(t, text.Choices[0].Text, "Forty two")
	assert.Equal(t, b.asked.Prompt, "dusters")

	models, err := c.Models.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	assert.Equal(t, models.Data[0].ID, "plume")
}

// Guards against streams that a stock client cannot read, and lost usage.
func TestStockClientStream(t *testing.T) {
	c := client(serve(t, answering("Forty", " two")))
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams())
	var gathered openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, gathered.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, gathered.Choices[0].Message.Content, "Forty two")
	assert.Equal(t, gathered.Choices[0].FinishReason, "stop")
	assert.Equal(t, gathered.Usage.PromptTokens, int64(40))
	assert.Equal(t, gathered.Usage.CompletionTokens, int64(2))
}

// Guards against a broken stream that a client takes for a whole answer.
func TestBrokenStreamIsAnError(t *testing.T) {
	for _, end := range []error{spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "cut"), errors.New("other"), nil} {
		b := answering("Forty", " two")
		b.pieces = b.pieces[:2]
		b.end = end
		server := serve(t, b)
		c := client(server)
		stream := c.Completions.NewStreaming(context.Background(), openai.CompletionNewParams{
			Model: "plume", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("dusters")},
		})
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Text)
		}
		assert.Equal(t, text.String(), "Forty two")
		assert.ErrorContains(t, stream.Err(), "upstream-failed")

		_, err := c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
			Model: "plume", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")},
		})
		var failure *openai.Error
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.StatusCode, 502)
		assert.Equal(t, failure.Code, "upstream-failed")
	}
}
