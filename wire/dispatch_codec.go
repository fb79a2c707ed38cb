package wire

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	dispatchJSON struct {
		Request     string   `json:"request"`
		Attempt     string   `json:"attempt"`
		Upstream    string   `json:"upstream"`
		Workspace   string   `json:"workspace"`
		Service     string   `json:"service"`
		Model       string   `json:"model"`
		Version     string   `json:"version"`
		Adapter     string   `json:"adapter,omitempty"`
		Rank        string   `json:"rank"`
		Prompt      string   `json:"prompt"`
		MaxTokens   int64    `json:"max-tokens"`
		Priority    int      `json:"priority"`
		ResumeFrom  int64    `json:"resume-from,omitempty"`
		Delivered   string   `json:"delivered,omitempty"`
		Cost        int64    `json:"cost"`
		Solo        bool     `json:"solo,omitempty"`
		Preemptible bool     `json:"preemptible,omitempty"`
		Deadline    int64    `json:"deadline-ms,omitempty"`
		Keys        []string `json:"keys,omitempty"`
	}
)

// EncodeDispatch encodes a dispatch as JSON.
func EncodeDispatch(d spoke.Dispatch) ([]byte, error) {
	out := dispatchJSON{
		Request: string(d.Spec.Request), Attempt: string(d.Spec.Attempt), Upstream: string(d.Upstream),
		Workspace: string(d.Spec.Workspace), Service: string(d.Spec.Service), Model: string(d.Spec.Model),
		Version: string(d.Spec.Version), Adapter: string(d.Spec.Adapter), Rank: string(d.Rank),
		Prompt: d.Spec.Prompt, MaxTokens: int64(d.Spec.MaxTokens), Priority: int(d.Spec.Priority),
		ResumeFrom: int64(d.Spec.ResumeFrom), Delivered: d.Spec.Delivered,
		Cost: int64(d.Cost), Solo: d.Solo, Preemptible: d.Preemptible, Deadline: encodeTime(d.Deadline),
	}
	for _, key := range d.Keys {
		out.Keys = append(out.Keys, key.String())
	}
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	// HTML escapes expand one byte to six, so that an escaped prompt could exceed dispatchLimit.
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(out)
	return body.Bytes(), eris.Wrap(err, "encode dispatch")
}

// DecodeDispatch decodes the JSON form of a dispatch.
func DecodeDispatch(body []byte) (spoke.Dispatch, error) {
	var in dispatchJSON
	if err := json.Unmarshal(body, &in); err != nil {
		return spoke.Dispatch{}, eris.Wrap(err, "decode dispatch")
	}
	d := spoke.Dispatch{
		Spec: spoke.RunSpec{
			Request: spoke.RequestID(in.Request), Attempt: spoke.AttemptID(in.Attempt),
			Workspace: spoke.WorkspaceID(in.Workspace), Service: spoke.ServiceName(in.Service),
			Model: spoke.ModelName(in.Model), Version: spoke.ModelVersion(in.Version),
			Adapter: spoke.AdapterName(in.Adapter), Prompt: in.Prompt,
			MaxTokens: spoke.TokenCount(in.MaxTokens), Priority: spoke.Priority(in.Priority),
			ResumeFrom: spoke.TokenCount(in.ResumeFrom), Delivered: in.Delivered,
		},
		Upstream: spoke.UpstreamID(in.Upstream), Rank: spoke.RankName(in.Rank),
		Cost: spoke.TokenCount(in.Cost), Solo: in.Solo, Preemptible: in.Preemptible,
		Deadline: decodeTime(in.Deadline),
	}
	for _, text := range in.Keys {
		key, err := spoke.ParseBlockKey(text)
		if err != nil {
			return spoke.Dispatch{}, eris.Wrap(err, "decode dispatch")
		}
		d.Keys = append(d.Keys, key)
	}
	return d, nil
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func decodeTime(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}
