package claim

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	answerBody struct {
		Status int                 `json:"status"`
		Header map[string][]string `json:"header,omitempty"`
		Body   []byte              `json:"body,omitempty"`
	}

	recordBody struct {
		Workspace spoke.WorkspaceID    `json:"workspace"`
		Service   spoke.ServiceName    `json:"service"`
		Key       spoke.IdempotencyKey `json:"key"`
		Content   spoke.Fingerprint    `json:"content"`
		Attempt   spoke.AttemptID      `json:"attempt"`
		Host      spoke.HostID         `json:"host"`
		State     spoke.ClaimState     `json:"state"`
		// Claimed is the time of the claim in milliseconds since the Unix epoch.
		Claimed int64       `json:"claimed-ms"`
		Answer  *answerBody `json:"answer,omitempty"`
	}

	shardBody struct {
		Claims []recordBody `json:"claims"`
	}
)

// encodeShard returns the stored value of a shard. Its claims are sorted, so that equal shards
// have equal values.
func encodeShard(s shard) ([]byte, error) {
	body := shardBody{Claims: make([]recordBody, 0, len(s))}
	for id, r := range s {
		body.Claims = append(body.Claims, recordBody{
			Workspace: id.Workspace, Service: id.Service, Key: id.Key,
			Content: r.content, Attempt: r.attempt, Host: r.host,
			State: r.state, Claimed: r.claimed.UnixMilli(), Answer: encodeAnswer(r.answer),
		})
	}
	slices.SortFunc(body.Claims, func(a, b recordBody) int {
		return strings.Compare(string(a.Workspace)+"/"+string(a.Key), string(b.Workspace)+"/"+string(b.Key))
	})
	return json.Marshal(body)
}

func decodeShard(content []byte) (shard, error) {
	var body shardBody
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, eris.Wrap(err, "decode claim shard")
	}
	s := make(shard, len(body.Claims))
	for _, b := range body.Claims {
		id := spoke.ClaimID{Workspace: b.Workspace, Service: b.Service, Key: b.Key}
		s[id] = record{
			content: b.Content, attempt: b.Attempt, host: b.Host, state: b.State,
			claimed: time.UnixMilli(b.Claimed), answer: decodeAnswer(b.Answer),
		}
	}
	return s, nil
}

func encodeAnswer(answer *spoke.PlainAnswer) *answerBody {
	if answer == nil {
		return nil
	}
	return &answerBody{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

func decodeAnswer(body *answerBody) *spoke.PlainAnswer {
	if body == nil {
		return nil
	}
	return &spoke.PlainAnswer{Status: body.Status, Header: body.Header, Body: body.Body}
}
