package cost

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
	"magnoliaspoke.example/spoke/ready"
)

const (
	latencySpan = 10 * time.Second
	// latencyPeriod gives 50 requests per second on each of the two paths in turn.
	latencyPeriod = 10 * time.Millisecond
	latencyPrompt = 1024
	latencyTokens = 4
)

type (
	// Quantiles are times to first token.
	Quantiles struct{ P50, P99 time.Duration }

	// Latency compares a direct call of an engine with one over one hop.
	Latency struct {
		Direct Quantiles
		OneHop Quantiles
		Calls  int
	}

	// path is one way to an engine.
	path struct {
		url    string
		key    string
		prefix string
		times  []time.Duration
		mu     sync.Mutex
	}
)

// MeasureLatency alternates between direct calls and calls through the host that
// does not own the engine, so that both see the same machine.
func MeasureLatency(ctx context.Context) (Latency, error) {
	session, err := setup.Start(ctx, plans.Cost(1, "--prefill-rate", "0", "--decode-rate", "0", "--max-batch", "64"))
	if err != nil {
		return Latency{}, err
	}
	defer session.Close()
	direct, hop, err := paths(ctx, session)
	if err != nil {
		return Latency{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	failures := alternate(ctx, client, direct, hop)
	if len(failures) > 0 {
		return Latency{}, eris.Wrapf(failures[0], "%d calls failed, the first", len(failures))
	}
	return Latency{Direct: direct.quantiles(), OneHop: hop.quantiles(), Calls: len(direct.times)}, nil
}

func paths(ctx context.Context, session *setup.Session) (direct, hop *path, err error) {
	engine, err := session.Fleet.Address("engine01")
	if err != nil {
		return nil, nil, err
	}
	host, err := nonOwner(ctx, session)
	if err != nil {
		return nil, nil, err
	}
	at, err := session.Address(host, ready.Caller)
	if err != nil {
		return nil, nil, err
	}
	key := plans.Key(plans.WorkspaceID(0))
	return &path{url: "http://" + string(engine), prefix: "direct"}, &path{url: "http://" + string(at), key: key, prefix: "hop"}, nil
}

// nonOwner returns the host that has to forward requests for the only engine.
func nonOwner(ctx context.Context, session *setup.Session) (spoke.HostID, error) {
	operator, err := session.Operator(session.Hosts()[0])
	if err != nil {
		return "", err
	}
	status, err := operator.Status(ctx)
	if err != nil {
		return "", err
	}
	for _, host := range session.Hosts() {
		if host != status.Upstreams[0].Owner {
			return host, nil
		}
	}
	return "", eris.New("every host owns the engine")
}

func alternate(ctx context.Context, client *http.Client, direct, hop *path) []error {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	count := int(latencySpan / latencyPeriod)
	for i := range count {
		if setup.Wait(ctx, latencyPeriod) != nil {
			break
		}
		chosen := direct
		if i%2 == 1 {
			chosen = hop
		}
		calls.Go(func() {
			if err := chosen.call(ctx, client, i); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, err)
			}
		})
	}
	calls.Wait()
	return failures
}

// call measures the time until the first line of the answer's first event.
func (p *path) call(ctx context.Context, client *http.Client, index int) error {
	id := fmt.Sprintf("%s-%d", p.prefix, index)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true`, plans.Model, load.Prompt(uint64(index), latencyPrompt), latencyTokens)
	if p.key == "" {
		// The engine's own protocol needs what the entry host adds.
		body += fmt.Sprintf(`,"request_id":%q,"attempt_id":%q,"version":%q,"cache_salt":"direct"`, id, id, plans.FirstVersion)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/v1/completions", bytes.NewReader([]byte(body+"}")))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+p.key)
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer resp.Body.Close()
	return p.read(resp, started)
}

func (p *path) read(resp *http.Response, started time.Time) error {
	lines := bufio.NewScanner(resp.Body)
	isFirst := true
	for lines.Scan() {
		if isFirst && strings.HasPrefix(lines.Text(), "data: ") {
			p.add(time.Since(started))
			isFirst = false
		}
	}
	if resp.StatusCode != http.StatusOK || isFirst {
		return eris.Errorf("status %d without an event", resp.StatusCode)
	}
	return eris.Wrap(lines.Err(), "read answer")
}

func (p *path) add(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times = append(p.times, took)
}

func (p *path) quantiles() Quantiles {
	slices.SortFunc(p.times, cmp.Compare[time.Duration])
	at := func(quantile float64) time.Duration {
		return p.times[min(int(quantile*float64(len(p.times))), len(p.times)-1)]
	}
	return Quantiles{P50: at(0.5), P99: at(0.99)}
}
