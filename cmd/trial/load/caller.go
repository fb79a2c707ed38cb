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
	maxLine     = 1 << 20
	maxFailure  = 1 << 20
	idlePerHost = 256
	endMark     = "[DONE]"
)

var (
	// ErrIncomplete marks an answer whose stream broke before its end mark.
	ErrIncomplete = eris.New("answer broke before its end mark")
	// ErrWrongText marks an answer that is not the fixed function of its prompt.
	ErrWrongText = eris.New("answer is not the text of its prompt and version")
)

type (
	// Ask is a language request of a caller.
	Request struct {
		Key       string
		Model     spoke.ModelName
		Rank      spoke.RankName
		Prompt    string
		MaxTokens spoke.TokenCount
		// Versions are the model versions whose text the answer may have.
		Versions []spoke.ModelVersion
	}

	// Answer is what the caller measured.
	Answer struct {
		// Sent is when the request went out.
		Sent       time.Time
		FirstToken time.Duration
		Total      time.Duration
		// Gap is the mean time between tokens after the first one.
		Gap     time.Duration
		Tokens  spoke.TokenCount
		Usage   spoke.Usage
		Text    string
		Version spoke.ModelVersion
		Status  int
		// Request is the id that the entry host gave.
		RequestID spoke.RequestID
		// Refusal is set if the request was refused.
		Refusal *spoke.Refusal
		// Err is set if the answer is neither whole nor a refusal.
		Err error

		arrived func(spoke.TokenCount)
	}

	// Caller sends requests to one entry host.
	Caller struct {
		base string
		http *http.Client
	}
)

// NewCaller returns a caller of the host at an address.
func NewCaller(at spoke.Address) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost}
	return &Caller{base: "http://" + string(at), http: &http.Client{Transport: transport}}
}

// IsServed reports whether the answer is whole and right.
func (a Answer) IsServed() bool { return a.Refusal == nil && a.Err == nil }

// Send sends a request and reads its whole answer.
func (c *Caller) Send(ctx context.Context, ask Request) Answer {
	return c.Watch(ctx, ask, nil)
}

// Watch does as Send and reports the tokens of each part as it arrives; arrived may be nil.
func (c *Caller) Watch(ctx context.Context, ask Request, arrived func(spoke.TokenCount)) Answer {
	answer := Answer{Sent: time.Now(), arrived: arrived}
	body, err := encodeAsk(ask)
	if err != nil {
		answer.Err = err
		return answer
	}
	resp, err := c.post(ctx, ask, body)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer resp.Body.Close()
	answer.Status = resp.StatusCode
	answer.RequestID = spoke.RequestID(resp.Header.Get("X-Request-Id"))
	if resp.StatusCode != http.StatusOK {
		answer.refuse(resp.Body)
	} else {
		answer.read(resp.Body)
		answer.check(ask)
	}
	answer.Total = time.Since(answer.Sent)
	if answer.Tokens > 1 {
		answer.Gap = (answer.Total - answer.FirstToken) / time.Duration(answer.Tokens-1)
	}
	return answer
}

func (c *Caller) post(ctx context.Context, ask Request, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+ask.Key)
	req.Header.Set("Content-Type", "application/json")
	if ask.Rank != "" {
		req.Header.Set("X-Spoke-Rank", string(ask.Rank))
	}
	resp, err := c.http.Do(req)
	return resp, eris.Wrap(err, "send request")
}

func (a *Answer) refuse(body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxFailure))
	if err != nil {
		a.Err = eris.Wrap(err, "read refusal")
		return
	}
	a.Refusal, a.Err = decodeFailure(text)
}

func (a *Answer) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == endMark {
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
		a.take(chunk, &text)
	}
	a.Err = errors.Join(ErrIncomplete, lines.Err())
}

func (a *Answer) take(chunk chunkJSON, text *strings.Builder) {
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
		if a.arrived != nil {
			a.arrived(tokens)
		}
		text.WriteString(choice.Text)
	}
}

// check compares the answer with the fixed text of the engine stand-in.
func (a *Answer) check(ask Request) {
	if a.Refusal != nil || a.Err != nil {
		return
	}
	length := model.Length(ask.Prompt, ask.MaxTokens)
	for _, version := range ask.Versions {
		if a.Text == model.Answer(ask.Prompt, version, 0, length) {
			a.Version = version
			return
		}
	}
	a.Err = eris.Wrapf(ErrWrongText, "%d of %d tokens, versions %v", a.Tokens, length, ask.Versions)
}
