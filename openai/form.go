package openai

import "magnoliaspoke.example/spoke"

// form writes answers as completions or as chat completions.
type form struct {
	chat         bool
	includeUsage bool
	id           string
	model        string
	created      int64
}

func (f form) body(choices ...choiceBody) answerBody {
	if choices == nil {
		choices = []choiceBody{}
	}
	body := answerBody{ID: "cmpl-" + f.id, Object: "text_completion", Created: f.created, Model: f.model, Choices: choices}
	if f.chat {
		body.ID, body.Object = "chatcmpl-"+f.id, "chat.completion.chunk"
	}
	return body
}

// whole returns the body of a whole answer.
func (f form) whole(text string, last spoke.Piece) answerBody {
	reason := string(last.Finish)
	choice := choiceBody{Text: &text, FinishReason: &reason}
	if f.chat {
		choice.Text, choice.Message = nil, &deltaBody{Role: "assistant", Content: &text}
	}
	body := f.body(choice)
	if f.chat {
		body.Object = "chat.completion"
	}
	body.Usage = encodeUsage(last.Usage)
	return body
}

// opening returns the first chunk of a chat, which carries the role.
func (f form) opening() answerBody {
	empty := ""
	return f.body(choiceBody{Delta: &deltaBody{Role: "assistant", Content: &empty}})
}

// chunk returns the chunk of one piece.
func (f form) chunk(piece spoke.Piece) answerBody {
	var choice choiceBody
	if f.chat {
		choice.Delta = &deltaBody{}
	}
	switch {
	case !f.chat:
		choice.Text = &piece.Text
	case piece.Text != "":
		choice.Delta.Content = &piece.Text
	}
	if piece.Finish != "" {
		reason := string(piece.Finish)
		choice.FinishReason = &reason
	}
	return f.body(choice)
}

// usage returns the chunk that follows the last one if the caller asked for it.
func (f form) usage(usage spoke.Usage) answerBody {
	body := f.body()
	body.Usage = encodeUsage(usage)
	return body
}
