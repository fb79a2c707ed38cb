package openai

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
)

// bodyReadTimeout bounds the time to read a request body.
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
	return x.complete(body, prompt, responseBuilder{})
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
	return x.complete(body, prompt, responseBuilder{chat: true})
}

func (x *exchange) decode(chat bool) (completionBody, error) {
	raw, err := x.readBody()
	if err != nil {
		return completionBody{}, err
	}
	return decodeCompletion(raw, chat)
}

func (x *exchange) readBody() ([]byte, error) {
	_ = http.NewResponseController(x.w).SetReadDeadline(x.bodyDeadline)
	x.hasAwaitedBody = true
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
	x.hasReadBody = true
	return raw, nil
}

// discardBody reads the rest of a body behind its answer. A caller that waits for the server's consent to send its
// body sends none after a refusal.
func (x *exchange) discardBody() {
	hasNone := x.r.Body == http.NoBody || x.r.Header.Get("Expect") != "" && !x.hasAwaitedBody
	if !x.hasReadBody && !hasNone {
		caller.Discard(x.r.Context(), x.w, x.r, x.bodyDeadline)
	}
}

// complete resolves and runs a request and writes the response.
func (x *exchange) complete(body completionBody, prompt string, builder responseBuilder) error {
	request, err := x.resolve(body, prompt)
	if err != nil {
		return err
	}
	if err := x.refuseLate(); err != nil {
		return err
	}
	x.isPassedOn = true
	run, err := x.backend.Complete(x.r.Context(), request)
	if err != nil {
		return err
	}
	defer func() { _ = run.Close() }()
	builder.id, builder.model, builder.created = string(x.id), body.Model, x.received.Unix()
	if !body.Stream {
		return x.writeCompletion(run, builder)
	}
	builder.includeUsage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	return x.streamCompletion(run, builder)
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
	limit, err := body.tokenLimit(x.maxTokens)
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

// writeCompletion reads the run to its end and writes the complete response.
func (x *exchange) writeCompletion(run spoke.RunStream, builder responseBuilder) error {
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
	x.writeJSON(http.StatusOK, builder.completion(text.String(), last))
	return nil
}
