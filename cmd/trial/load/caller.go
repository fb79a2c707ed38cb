package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/model"
)

const (
	maxLineSize         = 1 << 20
	maxBodySize         = 1 << 20
	maxIdleConnsPerHost = 256
	endMarker           = "[DONE]"
)

var (
	// ErrIncomplete reports an answer whose stream ended before the end marker.
	ErrIncomplete = eris.New("answer stream ended before its end marker")
	// ErrWrongText reports an answer that differs from the text that the engine stand-in derives from the prompt and version.
	ErrWrongText = eris.New("answer text does not match its prompt and version")
)

type (
	// Request is a request to the language service.
	Request struct {
		Key       string
		Model     spoke.ModelName
		Rank      spoke.RankName
		Prompt    string
		MaxTokens spoke.TokenCount
		// Versions are the model versions that may have produced the answer.
		Versions []spoke.ModelVersion
	}

	// Answer is the measured answer to a request.
	Answer struct {
		// Sent is the time at which the request was sent.
		Sent       time.Time
		FirstToken time.Duration
		Total      time.Duration
		// InterTokenLatency is the mean time between tokens after the first one.
		InterTokenLatency time.Duration
		Tokens            spoke.TokenCount
		Usage             spoke.Usage
		Text              string
		Version           spoke.ModelVersion
		Status            int
		// RequestID is the ID that the entry host assigned.
		RequestID spoke.RequestID
		// Refusal is set if the request was refused.
		Refusal *spoke.Refusal
		// Err is set if the answer is neither complete and correct nor a refusal.
		Err error

		onTokens func(spoke.TokenCount)
	}

	// Caller sends requests to one entry host.
	Caller struct {
		base string
		http *http.Client
	}
)

// NewCaller returns a caller for the host at an address.
func NewCaller(address spoke.Address) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	return &Caller{base: "http://" + string(address), http: &http.Client{Transport: transport}}
}

// IsServed reports whether the answer is complete and correct.
func (a Answer) IsServed() bool { return a.Refusal == nil && a.Err == nil }

// Send sends a request and reads the complete answer.
func (c *Caller) Send(ctx context.Context, request Request) Answer {
	return c.SendWithProgress(ctx, request, nil)
}

// SendWithProgress is like Send and also calls onTokens with the number of tokens of each part as it arrives; onTokens may be nil.
func (c *Caller) SendWithProgress(ctx context.Context, request Request, onTokens func(spoke.TokenCount)) Answer {
	answer := Answer{Sent: time.Now(), onTokens: onTokens}
	body, err := encodeRequest(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	resp, err := c.post(ctx, request, body)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer resp.Body.Close()
	answer.Status = resp.StatusCode
	answer.RequestID = spoke.RequestID(resp.Header.Get("X-Request-Id"))
	if resp.StatusCode != http.StatusOK {
		answer.readRefusal(resp.Body)
	} else {
		answer.readStream(resp.Body)
		answer.verifyText(request)
	}
	answer.Total = time.Since(answer.Sent)
	if answer.Tokens > 1 {
		answer.InterTokenLatency = (answer.Total - answer.FirstToken) / time.Duration(answer.Tokens-1)
	}
	return answer
}

func (c *Caller) post(ctx context.Context, request Request, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+request.Key)
	req.Header.Set("Content-Type", "application/json")
	if request.Rank != "" {
		req.Header.Set("X-Spoke-Rank", string(request.Rank))
	}
	resp, err := c.http.Do(req)
	return resp, eris.Wrap(err, "send request")
}

func (a *Answer) readRefusal(body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxBodySize))
	if err != nil {
		a.Err = eris.Wrap(err, "read refusal")
		return
	}
	a.Refusal, a.Err = decodeErrorBody(text)
}

func (a *Answer) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineSize)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == endMarker {
			return
		}
		chunk, err := decodeChunk([]byte(data))
		if err != nil {
			a.Err = err
			return
		}
		if chunk.Error != nil {
			a.Refusal = chunk.Error.refusal()
			return
		}
		a.addChunk(chunk, &text)
	}
	a.Err = errors.Join(ErrIncomplete, lines.Err())
}

func (a *Answer) addChunk(chunk chunkJSON, text *strings.Builder) {
	if chunk.Usage != nil {
		a.Usage = chunk.Usage.usage()
	}
	for _, choice := range chunk.Choices {
		if choice.Text == "" {
			continue
		}
		if a.Tokens == 0 {
			a.FirstToken = time.Since(a.Sent)
		}
		tokens := spoke.EstimateTokens(choice.Text)
		a.Tokens += tokens
		if a.onTokens != nil {
			a.onTokens(tokens)
		}
		text.WriteString(choice.Text)
	}
}

// verifyText compares the answer with the text that the engine stand-in derives from the prompt and sets the version that matches.
func (a *Answer) verifyText(request Request) {
	if a.Refusal != nil || a.Err != nil {
		return
	}
	length := model.Length(request.Prompt, request.MaxTokens)
	for _, version := range request.Versions {
		if a.Text == model.Answer(request.Prompt, version, 0, length) {
			a.Version = version
			return
		}
	}
	a.Err = eris.Wrapf(ErrWrongText, "%d of %d tokens, versions %v", a.Tokens, length, request.Versions)
}
