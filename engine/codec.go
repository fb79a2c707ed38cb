package engine

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
)

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

type (
	runBody struct {
		Model      spoke.ModelName    `json:"model"`
		Adapter    spoke.AdapterName  `json:"adapter,omitempty"`
		Prompt     string             `json:"prompt"`
		MaxTokens  spoke.TokenCount   `json:"max_tokens,omitempty"`
		Stream     bool               `json:"stream"`
		Priority   spoke.Priority     `json:"priority"`
		Request    spoke.RequestID    `json:"request_id"`
		Attempt    spoke.AttemptID    `json:"attempt_id"`
		Version    spoke.ModelVersion `json:"version"`
		Salt       cache.Salt         `json:"cache_salt"`
		ResumeFrom spoke.TokenCount   `json:"resume_from,omitempty"`
	}

	chunkBody struct {
		Attempt spoke.AttemptID    `json:"attempt_id"`
		Version spoke.ModelVersion `json:"version"`
		Offset  spoke.TokenCount   `json:"offset"`
		Choices []struct {
			Text   string             `json:"text"`
			Finish spoke.FinishReason `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			Prompt     spoke.TokenCount `json:"prompt_tokens"`
			Completion spoke.TokenCount `json:"completion_tokens"`
			Cached     spoke.TokenCount `json:"cached_tokens"`
		} `json:"usage"`
		Error *errorDetail `json:"error"`
	}

	errorDetail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		// Attempt is the run that is refused; other calls have none.
		Attempt spoke.AttemptID `json:"attempt_id,omitempty"`
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	cancelBody struct {
		Attempt spoke.AttemptID `json:"attempt-id"`
	}

	loadBody struct {
		Running   int                                    `json:"running"`
		Waiting   int                                    `json:"waiting"`
		Versions  map[spoke.ModelName]spoke.ModelVersion `json:"versions"`
		Role      string                                 `json:"role"`
		Draining  bool                                   `json:"draining"`
		CacheUsed spoke.ByteSize                         `json:"cache-used"`
		CacheSize spoke.ByteSize                         `json:"cache-size"`
		AsOf      time.Time                              `json:"as-of"`
	}

	eventsBody struct {
		Events []struct {
			Sequence spoke.Sequence       `json:"seq"`
			Kind     spoke.CacheEventKind `json:"kind"`
			Key      string               `json:"key"`
		} `json:"events"`
		Next spoke.Sequence `json:"next"`
	}

	snapshotBody struct {
		AsOf spoke.Sequence `json:"as-of"`
		Keys []string       `json:"keys"`
	}

	importBody struct {
		Keys []importKey `json:"keys"`
		// Limit is the time after which the engine stops importing and responds with the
		// blocks imported so far.
		Limit int64 `json:"limit-ms,omitempty"`
	}

	importKey struct {
		Key        string           `json:"key"`
		Generation spoke.Generation `json:"generation"`
		Checksum   spoke.Checksum   `json:"checksum"`
		Length     spoke.ByteSize   `json:"length"`
		Store      spoke.Address    `json:"store"`
	}

	importResponse struct {
		Imported []string `json:"imported"`
		Rejected []string `json:"rejected"`
	}

	exportBody struct {
		Keys []exportKey `json:"keys"`
	}

	exportKey struct {
		Key   string        `json:"key"`
		Store spoke.Address `json:"store"`
	}

	exportResponse struct {
		Failed []string `json:"failed"`
	}

	orderBody struct {
		Kind          spoke.OrderKind    `json:"kind"`
		Model         spoke.ModelName    `json:"model,omitempty"`
		Version       spoke.ModelVersion `json:"version,omitempty"`
		Adapter       spoke.AdapterName  `json:"adapter,omitempty"`
		Role          string             `json:"role,omitempty"`
		Fence         spoke.FencingToken `json:"fencing-token"`
		Deadline      *time.Time         `json:"deadline,omitempty"`
		Authorization string             `json:"authorization,omitempty"`
	}
)

func encodeRun(spec spoke.RunSpec) runBody {
	return runBody{
		Model:      spec.Model,
		Adapter:    spec.Adapter,
		Prompt:     spec.Prompt,
		MaxTokens:  spec.MaxTokens,
		Stream:     true,
		Priority:   spec.Priority,
		Request:    spec.Request,
		Attempt:    spec.Attempt,
		Version:    spec.Version,
		Salt:       cache.ScopeOf(spec).Salt(),
		ResumeFrom: spec.ResumeFrom,
	}
}

// piece maps a chunk to a Piece; text, finish reason and usage are all optional.
func (c chunkBody) piece() spoke.Piece {
	piece := spoke.Piece{Attempt: c.Attempt, Version: c.Version, Offset: c.Offset}
	if len(c.Choices) > 0 {
		piece.Text = c.Choices[0].Text
		piece.Finish = c.Choices[0].Finish
		piece.Tokens = spoke.EstimateTokens(piece.Text)
	}
	if c.Usage != nil {
		piece.Usage = spoke.Usage{
			Prompt:     c.Usage.Prompt,
			Completion: c.Usage.Completion,
			Cached:     c.Usage.Cached,
		}
	}
	return piece
}

func encodeOrder(order spoke.Order) orderBody {
	body := orderBody{
		Kind:          order.Kind,
		Model:         order.Model,
		Version:       order.Version,
		Adapter:       order.Adapter,
		Role:          order.Role,
		Fence:         order.Fence,
		Authorization: order.Credential,
	}
	if !order.Deadline.IsZero() {
		// Round strips the monotonic clock reading, which is meaningless in another process.
		deadline := order.Deadline.Round(0)
		body.Deadline = &deadline
	}
	return body
}

func encodeImport(blocks []spoke.BlockImport) importBody {
	body := importBody{Keys: make([]importKey, 0, len(blocks))}
	for _, block := range blocks {
		body.Keys = append(body.Keys, importKey{
			Key:        block.Key.String(),
			Generation: block.Generation,
			Checksum:   block.Checksum,
			Length:     block.Length,
			Store:      block.Store,
		})
	}
	return body
}

func encodeExport(blocks []spoke.BlockExport) exportBody {
	body := exportBody{Keys: make([]exportKey, 0, len(blocks))}
	for _, block := range blocks {
		body.Keys = append(body.Keys, exportKey{Key: block.Key.String(), Store: block.Store})
	}
	return body
}

func decodeKeys(texts []string) ([]spoke.BlockKey, error) {
	keys := make([]spoke.BlockKey, 0, len(texts))
	for _, text := range texts {
		key, err := spoke.ParseBlockKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func (b eventsBody) batch() (spoke.CacheEventBatch, error) {
	batch := spoke.CacheEventBatch{Next: b.Next, Events: make([]spoke.CacheEvent, 0, len(b.Events))}
	for _, event := range b.Events {
		key, err := spoke.ParseBlockKey(event.Key)
		if err != nil {
			return spoke.CacheEventBatch{}, err
		}
		batch.Events = append(batch.Events, spoke.CacheEvent{Sequence: event.Sequence, Kind: event.Kind, Key: key})
	}
	return batch, nil
}
