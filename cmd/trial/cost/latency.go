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
	// latencyPeriod is the time between requests, which alternate between the two paths: 50 per second on each.
	latencyPeriod     = 10 * time.Millisecond
	latencyPromptSize = 1024
	latencyTokens     = 4
)

type (
	// Quantiles is a set of quantiles of the time to first token.
	Quantiles struct{ P50, P99 time.Duration }

	// Latency compares direct calls to an engine with calls that one entry host forwards to another.
	Latency struct {
		Direct Quantiles
		OneHop Quantiles
		// Calls is the number of calls on each path.
		Calls int
	}

	// enginePath is a path to an engine with the measured times to first token.
	enginePath struct {
		url      string
		key      string
		idPrefix string
		times    []time.Duration
		mu       sync.Mutex
	}
)

// MeasureLatency alternates between direct calls and calls through the host that does not
// own the engine, so that both are measured under the same load of the machine.
func MeasureLatency(ctx context.Context) (Latency, error) {
	session, err := setup.Start(ctx, plans.Cost(1, "--prefill-rate", "0", "--decode-rate", "0", "--max-batch", "64"))
	if err != nil {
		return Latency{}, err
	}
	defer session.Close()
	direct, oneHop, err := newPaths(ctx, session)
	if err != nil {
		return Latency{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	failures := alternateCalls(ctx, client, direct, oneHop)
	if len(failures) > 0 {
		return Latency{}, eris.Wrapf(failures[0], "%d calls failed; first error", len(failures))
	}
	return Latency{Direct: direct.quantiles(), OneHop: oneHop.quantiles(), Calls: len(direct.times)}, nil
}

func newPaths(ctx context.Context, session *setup.Session) (direct, oneHop *enginePath, err error) {
	engine, err := session.Fleet.Address("engine01")
	if err != nil {
		return nil, nil, err
	}
	host, err := nonOwner(ctx, session)
	if err != nil {
		return nil, nil, err
	}
	address, err := session.Address(host, ready.Caller)
	if err != nil {
		return nil, nil, err
	}
	key := plans.Key(plans.WorkspaceID(0))
	return &enginePath{url: "http://" + string(engine), idPrefix: "direct"}, &enginePath{url: "http://" + string(address), key: key, idPrefix: "hop"}, nil
}

// nonOwner returns a host that does not own the only engine and therefore forwards requests for it.
func nonOwner(ctx context.Context, session *setup.Session) (spoke.HostID, error) {
	client, err := session.AdminClient(session.Hosts()[0])
	if err != nil {
		return "", err
	}
	status, err := client.Status(ctx)
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

func alternateCalls(ctx context.Context, client *http.Client, direct, oneHop *enginePath) []error {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	count := int(latencySpan / latencyPeriod)
	for i := range count {
		if setup.Sleep(ctx, latencyPeriod) != nil {
			break
		}
		chosen := direct
		if i%2 == 1 {
			chosen = oneHop
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

// call makes one call and measures the time to the first event of its answer.
func (p *enginePath) call(ctx context.Context, client *http.Client, index int) error {
	id := fmt.Sprintf("%s-%d", p.idPrefix, index)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true`, plans.Model, load.Prompt(uint64(index), latencyPromptSize), latencyTokens)
	if p.key == "" {
		// A direct call must contain the fields that the entry host adds to forwarded requests.
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

func (p *enginePath) read(resp *http.Response, started time.Time) error {
	lines := bufio.NewScanner(resp.Body)
	isFirst := true
	for lines.Scan() {
		if isFirst && strings.HasPrefix(lines.Text(), "data: ") {
			p.add(time.Since(started))
			isFirst = false
		}
	}
	if resp.StatusCode != http.StatusOK || isFirst {
		return eris.Errorf("status %d, no event received", resp.StatusCode)
	}
	return eris.Wrap(lines.Err(), "read response")
}

func (p *enginePath) add(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times = append(p.times, took)
}

func (p *enginePath) quantiles() Quantiles {
	slices.SortFunc(p.times, cmp.Compare[time.Duration])
	at := func(quantile float64) time.Duration {
		return p.times[min(int(quantile*float64(len(p.times))), len(p.times)-1)]
	}
	return Quantiles{P50: at(0.5), P99: at(0.99)}
}
