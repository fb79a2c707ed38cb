package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/delta"
	"magnoliaspoke.example/spoke/fetch"
)

const (
	// contentIdleTimeout is the time without a byte after which another host is asked; a host that waits for the
	// content itself sends padding.
	contentIdleTimeout = 350 * time.Millisecond
	// contentTimeoutFraction is the time in which a content must arrive from other hosts, as a fraction of the age
	// at which a configuration is stale.
	contentTimeoutFraction = 0.5
)

// contentClient gets large values of the directory from other hosts.
type contentClient struct {
	http     *http.Client
	contents *contents
	// decode decodes a content and checks that it is the wanted one.
	decode  func(spoke.DirectoryContent) (spoke.DirectoryChange, error)
	timeout time.Duration
	// sources are the hosts to ask, in this order.
	sources atomic.Pointer[[]netip.AddrPort]
}

func newContentClient(contents *contents, directory spoke.Directory, staleAfter time.Duration) *contentClient {
	transport := newPeerTransport(contentIdleTimeout)
	return &contentClient{
		http: &http.Client{Transport: transport}, contents: contents, decode: directory.DecodeContent,
		timeout: time.Duration(contentTimeoutFraction * float64(staleAfter)),
	}
}

func (c *contentClient) setSources(sources []netip.AddrPort) { c.sources.Store(&sources) }

// fetchFromSources returns the change that a content makes, which this host has or gets from one of the sources.
func (c *contentClient) fetchFromSources(ctx context.Context, wanted spoke.ContentReference) (spoke.DirectoryChange, error) {
	if sources := c.sources.Load(); sources != nil {
		return c.fetch(ctx, wanted, *sources...)
	}
	return c.fetch(ctx, wanted)
}

// fetch returns the change that a content makes, which this host has or gets from the first of other hosts that has it.
func (c *contentClient) fetch(ctx context.Context, wanted spoke.ContentReference, sources ...netip.AddrPort) (spoke.DirectoryChange, error) {
	if known, isKnown := c.contents.get(wanted.ID); isKnown {
		return c.decode(known)
	}
	defer c.contents.begin(wanted.ID)()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	failure := eris.Wrapf(errContentUnknown, "content of %s", wanted.Key)
	for _, source := range sources {
		change, err := c.fetchFrom(ctx, source, wanted)
		if err == nil {
			return change, nil
		}
		failure = errors.Join(failure, err)
	}
	return spoke.DirectoryChange{}, failure
}

func (c *contentClient) fetchFrom(ctx context.Context, source netip.AddrPort, wanted spoke.ContentReference) (spoke.DirectoryChange, error) {
	base, _ := c.contents.newest(wanted.Key)
	target := fmt.Sprintf("http://%s%s?%s=%s&%s=%s", source, contentPath, contentID, wanted.ID, contentBase, base.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return spoke.DirectoryChange{}, eris.Wrap(err, "content of another host")
	}
	limits := fetch.Limits{Head: contentIdleTimeout, Idle: contentIdleTimeout, Body: maxContent}
	response, err := fetch.Do(c.http, request, limits, nil)
	if err != nil {
		return spoke.DirectoryChange{}, eris.Wrapf(err, "content of host %s", source)
	}
	encoded, isWhole := bytes.CutPrefix(bytes.TrimLeft(response.Body, string(contentPadding)), []byte{contentStart})
	if response.Status != http.StatusOK || !isWhole {
		return spoke.DirectoryChange{}, eris.Wrapf(errContentUnknown, "host %s: status %d", source, response.Status)
	}
	if spoke.ContentID(response.Header.Get(contentBaseHeader)) != base.ID {
		base = spoke.DirectoryContent{}
	}
	value, err := delta.Apply(base.Value, encoded, maxContent)
	if err != nil {
		return spoke.DirectoryChange{}, eris.Wrapf(err, "content of host %s", source)
	}
	content := spoke.DirectoryContent{ContentReference: wanted, Value: value}
	change, err := c.decode(content)
	if err != nil {
		return spoke.DirectoryChange{}, eris.Wrapf(err, "content of host %s", source)
	}
	c.contents.addDelta(base.ID, wanted.ID, encoded)
	c.contents.add(content)
	return change, nil
}
