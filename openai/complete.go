package openai

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
)

// bodyReadTimeout bounds how long a caller may take to send its body.
const bodyReadTimeout = 30 * time.Second

func (x *exchange) completions() error {
	body, err := x.decode(false)
	if err != nil {
		return err
	}
	prompt, err := body.promptText()
	if err != nil {
		return err
	}
	return x.complete(body, prompt, form{})
}

func (x *exchange) chat() error {
	body, err := x.decode(true)
	if err != nil {
		return err
	}
	prompt, err := joinMessages(body.Messages)
	if err != nil {
		return err
	}
	return x.complete(body, prompt, form{chat: true})
}

func (x *exchange) decode(chat bool) (completionBody, error) {
	raw, err := x.readBody()
	if err != nil {
		return completionBody{}, err
	}
	return decodeCompletion(raw, chat)
}

func (x *exchange) readBody() ([]byte, error) {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(x.bodyLimit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal := spoke.RefuseNotRun(spoke.CodeTooLarge, "the body exceeds %d bytes", x.bodyLimit)
		refusal.Param = "body"
		return nil, refusal
	}
	if err != nil {
		return nil, badField("body", "the body cannot be read: %s", err)
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return raw, nil
}

// complete resolves the request, runs it and gives the answer.
func (x *exchange) complete(body completionBody, prompt string, f form) error {
	request, err := x.resolve(body, prompt)
	if err != nil {
		return err
	}
	run, err := x.backend.Complete(x.r.Context(), request)
	if err != nil {
		return err
	}
	defer func() { _ = run.Close() }()
	f.id, f.model, f.created = string(x.id), body.Model, x.received.Unix()
	if !body.Stream {
		return x.whole(run, f)
	}
	f.includeUsage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	return x.stream(run, f)
}

func (x *exchange) resolve(body completionBody, prompt string) (spoke.Request, error) {
	var none spoke.Request
	model, ok := x.visibleModel(spoke.ModelName(body.Model))
	if !ok {
		refusal := spoke.RefuseNotRun(spoke.CodeNotFound, "unknown model %q", body.Model)
		refusal.Param = "model"
		return none, refusal
	}
	adapter := spoke.AdapterName(body.Adapter)
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		refusal := spoke.RefuseNotRun(spoke.CodeNotFound, "model %s has no adapter %q", model.Name, adapter)
		refusal.Param = "adapter"
		return none, refusal
	}
	service, ok := x.manifest.Service(model.Service)
	if !ok || service.Kind != spoke.ServiceLanguage {
		return none, spoke.RefuseNotRun(spoke.CodeNotFound, "model %s has no language service", model.Name)
	}
	rank, err := x.rank(service)
	if err != nil {
		return none, err
	}
	limit, err := body.limit(x.maxTokens)
	if err != nil {
		return none, err
	}
	return spoke.Request{
		ID:        x.id,
		Workspace: x.workspace.ID,
		Service:   service.Name,
		Model:     model.Name,
		Adapter:   adapter,
		Rank:      rank,
		Prompt:    prompt,
		MaxTokens: limit,
		Deadline:  x.deadline,
		Received:  x.received,
	}, nil
}

// whole collects the answer and gives it at once.
func (x *exchange) whole(run spoke.RunStream, f form) error {
	var text strings.Builder
	var last spoke.Piece
	for {
		piece, err := run.Next(x.r.Context())
		if err == io.EOF { //nolint:errorlint // RunStream returns io.EOF itself.
			break
		}
		if err != nil {
			return err
		}
		text.WriteString(piece.Text)
		last = piece
	}
	if last.Finish == "" {
		return spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "the answer has no end mark")
	}
	x.writeJSON(http.StatusOK, f.whole(text.String(), last))
	return nil
}
