package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
)

const (
	// feedMargin is the time beyond its wait that a host may take to answer.
	feedMargin = 250 * time.Millisecond
	// feedLimit bounds an answer.
	feedLimit = 4 << 20
	// freshShare is the part of the time after which knowledge is stale that what another host knows
	// may be old.
	freshShare = 0.6
	// feedWaitShare is the part of that time for which a question waits, so that the age of what is
	// known stays below it.
	feedWaitShare = 0.25
)

var (
	errFeedLost  = eris.New("the hosts that watch the directory have lost it")
	errFeedStale = eris.New("what the host knows of the directory is too old")
)

// feedClient asks the hosts that watch the directory for the others.
type feedClient struct {
	http *http.Client
	now  func() time.Time
	// limit is the age at which knowledge is stale.
	limit time.Duration
	// sources are the hosts to ask; empty if this host watches the directory itself.
	sources atomic.Pointer[[]netip.AddrPort]
	// preferred is the source that answered last; only the task that follows the directory uses it.
	preferred int
}

func newFeedClient(limit time.Duration, now func() time.Time) *feedClient {
	transport := &http.Transport{DialContext: dial.New(feedMargin).DialContext, DisableCompression: true}
	return &feedClient{http: &http.Client{Transport: transport}, now: now, limit: limit}
}

func (c *feedClient) setSources(sources []netip.AddrPort) { c.sources.Store(&sources) }

// hasSources reports whether other hosts watch the directory for this one.
func (c *feedClient) hasSources() bool {
	sources := c.sources.Load()
	return sources != nil && len(*sources) > 0
}

// ask waits for news after a revision at one of the sources. Its error is errFeedLost if none of them
// follows the directory at the moment.
func (c *feedClient) ask(ctx context.Context, after spoke.Revision) (feedAnswer, error) {
	sources := *c.sources.Load()
	var failure error
	isLost := false
	for range sources {
		source := sources[c.preferred%len(sources)]
		answer, status, err := c.askOne(ctx, source, after)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return feedAnswer{}, ctx.Err()
		}
		failure = err
		isLost = isLost || status == http.StatusServiceUnavailable
		c.preferred++
	}
	if isLost {
		return feedAnswer{}, errFeedLost
	}
	return feedAnswer{}, failure
}

func (c *feedClient) askOne(ctx context.Context, source netip.AddrPort, after spoke.Revision) (feedAnswer, int, error) {
	wait := time.Duration(feedWaitShare * float64(c.limit))
	ctx, cancel := context.WithTimeout(ctx, wait+feedMargin)
	defer cancel()
	target := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", source, feedPath, feedAfter, after, feedWait, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return feedAnswer{}, 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return feedAnswer{}, 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, feedLimit))
	if err != nil {
		return feedAnswer{}, 0, err
	}
	if response.StatusCode != http.StatusOK {
		return feedAnswer{}, response.StatusCode, eris.Errorf("directory at host %s: status %d", source, response.StatusCode)
	}
	answer, err := decodeFeed(c.now(), raw)
	if err == nil && answer.view.Age > time.Duration(freshShare*float64(c.limit)) {
		err = eris.Wrapf(errFeedStale, "host %s: %s", source, answer.view.Age)
	}
	return answer, response.StatusCode, err
}
