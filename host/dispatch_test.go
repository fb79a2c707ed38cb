package host_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

// remoteDispatch returns a dispatch to an upstream that another host owns, and its owner.
func (c *cluster) remoteDispatch(id spoke.HostID) (spoke.Dispatch, spoke.HostID) {
	c.t.Helper()
	for _, view := range c.hosts[id].Views("quotes") {
		if view.Owner != id {
			spec := spoke.RunSpec{Request: "r", Attempt: "r-1", Workspace: "w", Service: "quotes", Model: "m", Version: "v1"}
			return spoke.Dispatch{Spec: spec, Upstream: view.Upstream.ID, Rank: "urgent", Cost: 1}, view.Owner
		}
	}
	c.t.Fatal("no upstream has another owner")
	return spoke.Dispatch{}, ""
}

// Guards against pieces that are lost between an owner and the dispatching host.
func TestDispatchThroughOwner(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		dispatch, _ := c.remoteDispatch("h1")
		stream, err := c.hosts["h1"].Dispatch(context.Background(), dispatch)
		assert.NilError(t, err)
		defer stream.Close()
		tokens, err := readTokens(context.Background(), stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, tokens, spoke.TokenCount(3))
	})
}

// Guards against an owner that loses its upstreams because it refused one request, and against
// one that keeps them although its address refuses connections.
func TestOnlyUnreachableOwnersAreMarkedDead(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		dispatch, owner := c.remoteDispatch("h1")
		internal := c.hosts[owner].Internal()
		// Wait for a time between heartbeats, which would mark the owner as alive again.
		sleep(100 * time.Millisecond)
		for _, peer := range []struct {
			handler http.Handler
			state   spoke.PeerState
		}{
			{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "body is over its limit", http.StatusBadRequest)
			}), spoke.PeerAlive},
			{nil, spoke.PeerDead},
		} {
			c.setHandler(string(addressOf(owner)), peer.handler)
			_, err := c.hosts["h1"].Dispatch(context.Background(), dispatch)
			assert.ErrorIs(t, err, spoke.ErrNotRun)
			synctest.Wait()
			assert.Equal(t, c.hosts["h1"].Members().Peers[owner].State, peer.state)
			c.setHandler(string(addressOf(owner)), internal)
		}
		sleep(settleTime)
		c.assertOwnershipAgreed()
	})
}
