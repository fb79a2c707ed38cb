package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
	"magnoliaspoke.example/spoke/place"
)

const (
	// feedTimeoutMargin is the time beyond its wait that a host may take to answer.
	feedTimeoutMargin = 250 * time.Millisecond
	// maxFeedAnswer bounds an answer.
	maxFeedAnswer spoke.ByteSize = 4 << 20
	// maxPeerAgeFraction is the maximum age of the directory view of a peer, as a fraction of the age at which a
	// configuration is stale. In calm, that of a host that watches the directory reaches maxWatchWait and
	// directoryBatchDelay.
	maxPeerAgeFraction = 0.75
	// feedWaitFraction is the wait of a request as a fraction of the same age, so that the configuration
	// of this host does not become stale.
	feedWaitFraction = 0.25
)

var (
	errFeedLost  = eris.New("the hosts that watch the directory cannot reach it")
	errFeedStale = eris.New("directory view of the host is too old")
)

// feedClient polls the feeds of the hosts that watch the directory for others.
type feedClient struct {
	http *http.Client
	now  func() time.Time
	// staleAfter is the age at which a configuration is stale.
	staleAfter time.Duration
	// sources are the hosts to poll; empty if this host watches the directory itself.
	sources atomic.Pointer[[]netip.AddrPort]
	// preferred is the index, modulo the number of sources, of the source that answered last; only the
	// task that follows the directory uses it.
	preferred int
}

func newFeedClient(staleAfter time.Duration, now func() time.Time) *feedClient {
	transport := newPeerTransport(feedTimeoutMargin)
	return &feedClient{http: &http.Client{Transport: transport}, now: now, staleAfter: staleAfter}
}

func (c *feedClient) setSources(sources []netip.AddrPort) { c.sources.Store(&sources) }

// hasSources reports whether other hosts watch the directory for this one.
func (c *feedClient) hasSources() bool {
	sources := c.sources.Load()
	return sources != nil && len(*sources) > 0
}

// poll waits at one of the sources for changes after a revision. Its error is errFeedLost if no source
// answered and at least one cannot reach the directory.
func (c *feedClient) poll(ctx context.Context, after spoke.Revision) (feedAnswer, error) {
	sources := *c.sources.Load()
	var failure error
	isLost := false
	for range sources {
		source := sources[c.preferred%len(sources)]
		answer, status, err := c.pollSource(ctx, source, after)
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

func (c *feedClient) pollSource(ctx context.Context, source netip.AddrPort, after spoke.Revision) (feedAnswer, int, error) {
	wait := time.Duration(feedWaitFraction * float64(c.staleAfter))
	maxAge, asked := time.Duration(maxPeerAgeFraction*float64(c.staleAfter)), c.now()
	target := fmt.Sprintf("http://%s%s?%s=%d&%s=%d&%s=%d",
		source, feedPath, feedAfter, after, feedWait, wait.Milliseconds(), feedMaxAge, maxAge.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return feedAnswer{}, 0, err
	}
	limits := fetch.Limits{Head: wait + feedTimeoutMargin, Idle: feedTimeoutMargin, Body: maxFeedAnswer}
	response, err := fetch.Do(c.http, request, limits, nil)
	if err != nil {
		return feedAnswer{}, 0, eris.Wrapf(err, "directory feed of host %s", source)
	}
	if response.Status != http.StatusOK {
		return feedAnswer{}, response.Status, eris.Errorf("directory feed of host %s: status %d", source, response.Status)
	}
	answer, err := decodeFeed(c.now(), response.Body)
	answer.provenAt = place.ProvenByPeer(answer.receivedAt, answer.view.Age, place.UnderWay(asked, answer.receivedAt, answer.held))
	if age := answer.receivedAt.Sub(answer.provenAt); err == nil && age > maxAge {
		err = eris.Wrapf(errFeedStale, "host %s: %s", source, age)
	}
	if err == nil && answer.view.Revision.Era() < after.Era() {
		err = eris.Wrapf(errFeedStale, "host %s: era %d", source, answer.view.Revision.Era())
	}
	return answer, response.Status, err
}
