package openai

import "magnoliaspoke.example/spoke"

// responseBuilder builds the bodies of completions or of chat completions.
type responseBuilder struct {
	chat         bool
	includeUsage bool
	id           string
	model        string
	created      int64
}

func (b responseBuilder) body(choices ...choiceBody) responseBody {
	if choices == nil {
		choices = []choiceBody{}
	}
	body := responseBody{ID: "cmpl-" + b.id, Object: "text_completion", Created: b.created, Model: b.model, Choices: choices}
	if b.chat {
		body.ID, body.Object = "chatcmpl-"+b.id, "chat.completion.chunk"
	}
	return body
}

// completion returns the body of a response that is not streamed.
func (b responseBuilder) completion(text string, last spoke.Piece) responseBody {
	reason := string(last.Finish)
	choice := choiceBody{Text: &text, FinishReason: &reason}
	if b.chat {
		choice.Text, choice.Message = nil, &deltaBody{Role: "assistant", Content: &text}
	}
	body := b.body(choice)
	if b.chat {
		body.Object = "chat.completion"
	}
	body.Usage = encodeUsage(last.Usage)
	return body
}

// roleChunk returns the first chunk of a streamed chat completion, which carries the role.
func (b responseBuilder) roleChunk() responseBody {
	empty := ""
	return b.body(choiceBody{Delta: &deltaBody{Role: "assistant", Content: &empty}})
}

// chunk returns the streamed chunk that holds the text and finish reason of a piece.
func (b responseBuilder) chunk(piece spoke.Piece) responseBody {
	var choice choiceBody
	if b.chat {
		choice.Delta = &deltaBody{}
	}
	switch {
	case !b.chat:
		choice.Text = &piece.Text
	case piece.Text != "":
		choice.Delta.Content = &piece.Text
	}
	if piece.Finish != "" {
		reason := string(piece.Finish)
		choice.FinishReason = &reason
	}
	return b.body(choice)
}

// usageChunk returns the chunk with the usage, which follows the last piece if the caller
// requested it.
func (b responseBuilder) usageChunk(usage spoke.Usage) responseBody {
	body := b.body()
	body.Usage = encodeUsage(usage)
	return body
}
