package edge

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
)

const (
	originPath    = "/stream-origin"
	originRequest = "request"
	// originTimeout bounds the wait for other hosts; callers wait meanwhile.
	originTimeout = 200 * time.Millisecond
	// maxOriginBody bounds the answer of another host.
	maxOriginBody spoke.ByteSize = 1 << 10
)

// originClient asks other hosts at which software version a stream began.
type originClient struct {
	http    *http.Client
	metrics *metrics
}

func newOriginClient(metrics *metrics) *originClient {
	transport := newPeerTransport(originTimeout)
	return &originClient{http: &http.Client{Transport: transport}, metrics: metrics}
}

// ask returns the first version that one of the hosts knows; it returns false if none has answered with one in time.
func (c *originClient) ask(ctx context.Context, request spoke.RequestID, hosts []netip.AddrPort) (spoke.SoftwareVersion, bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	answers := make(chan spoke.SoftwareVersion, len(hosts))
	for _, host := range hosts {
		go func() { answers <- c.askHost(ctx, request, host) }()
	}
	for range hosts {
		select {
		case software := <-answers:
			if software != "" {
				return software, true
			}
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// askHost returns the version that a host knows, empty if there is none.
func (c *originClient) askHost(ctx context.Context, id spoke.RequestID, host netip.AddrPort) spoke.SoftwareVersion {
	target := url.URL{Scheme: "http", Host: host.String(), Path: originPath, RawQuery: url.Values{originRequest: {string(id)}}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return ""
	}
	c.metrics.addOriginRequest()
	response, err := fetch.Do(c.http, request, fetch.Limits{Head: originTimeout, Idle: originTimeout, Body: maxOriginBody}, nil)
	if err != nil || response.Status != http.StatusOK {
		return ""
	}
	return decodeOrigin(response.Body)
}

// ServeHTTP answers a host that asks at which software version a stream began.
func (o *origins) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	software, _ := o.find(spoke.RequestID(r.URL.Query().Get(originRequest)))
	if software == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(encodeOrigin(software)); err != nil {
		o.log.WithError(err).Debug("origin of a stream not sent to a peer")
	}
}
