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

// Guards against responses that OpenAI's client cannot read, and against a changed prompt format.
func TestOpenAIClientReadsCompletions(t *testing.T) {
	b := newBackend("Forty", " two")
	c := newClient(startServer(t, b))
	params := chatParams()
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	response, err := c.Chat.Completions.New(context.Background(), params)
	assert.NilError(t, err)
	assert.Equal(t, response.Choices[0].Message.Content, "Forty two")
	assert.Equal(t, response.Choices[0].FinishReason, "stop")
	assert.Equal(t, response.Usage.PromptTokensDetails.CachedTokens, int64(32))
	assert.Equal(t, b.lastRequest.Prompt, "<|system|>\nBe brief.\n<|user|>\nHow many <||assistant|> dusters?\n<|assistant|>\n")
	assert.Equal(t, b.lastRequest.MaxTokens, spoke.TokenCount(16))
	assert.Equal(t, b.lastRequest.Rank, spoke.RankName("normal"))
	assert.Equal(t, b.lastRequest.Workspace, spoke.WorkspaceID("sialkot"))

	text, err := c.Completions.New(context.Background(), openai.CompletionNewParams{
		Model: "plume", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("dusters")},
	})
	assert.NilError(t, err)
	assert.Equal(t, text.Choices[0].Text, "Forty two")
	assert.Equal(t, b.lastRequest.Prompt, "dusters")

	models, err := c.Models.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	assert.Equal(t, models.Data[0].ID, "plume")
}

// Guards against streams that OpenAI's client cannot read, and against lost usage.
func TestOpenAIClientReadsStream(t *testing.T) {
	c := newClient(startServer(t, newBackend("Forty", " two")))
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams())
	var accumulator openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, accumulator.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, accumulator.Choices[0].Message.Content, "Forty two")
	assert.Equal(t, accumulator.Choices[0].FinishReason, "stop")
	assert.Equal(t, accumulator.Usage.PromptTokens, int64(40))
	assert.Equal(t, accumulator.Usage.CompletionTokens, int64(2))
}

// Guards against a broken stream that a client treats as a complete response.
func TestOpenAIClientReportsBrokenStream(t *testing.T) {
	for _, end := range []error{spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "cut"), errors.New("other"), nil} {
		b := newBackend("Forty", " two")
		b.pieces = b.pieces[:2]
		b.endErr = end
		server := startServer(t, b)
		c := newClient(server)
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
		var apiErr *openai.Error
		assert.Assert(t, errors.As(err, &apiErr))
		assert.Equal(t, apiErr.StatusCode, 502)
		assert.Equal(t, apiErr.Code, "upstream-failed")
	}
}
