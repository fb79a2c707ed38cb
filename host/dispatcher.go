package host

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/wire"
)

type (
	// dispatcher hands attempts to the owner of their upstream.
	dispatcher struct {
		self     spoke.HostID
		manifest spoke.ManifestSource
		views    *viewTable
		members  *memberTask
		owner    *owner
		client   *wire.Client
		plain    spoke.Plain
	}
)

// Dispatch starts an attempt at the owner, over one hop unless the own host is the owner.
func (d *dispatcher) Dispatch(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	owner := d.views.Owner(dispatch.Upstream)
	if owner == d.self {
		return d.owner.Run(ctx, dispatch)
	}
	peer, ok := d.members.View().Peers[owner]
	if !ok {
		return nil, eris.Wrapf(spoke.ErrNotRun, "upstream %s has no owner in reach", dispatch.Upstream)
	}
	stream, err := d.client.Run(ctx, peer.Address, dispatch)
	if err != nil {
		d.distrust(ctx, owner, err)
		return nil, err
	}
	return stream, nil
}

// distrust takes a host that does not answer out of the ownership at once; its next
// heartbeat brings it back. A host that refuses one run goes on owning.
func (d *dispatcher) distrust(ctx context.Context, host spoke.HostID, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, spoke.ErrOwnerLost) {
		_ = d.members.post(ctx, memberRequest{message: member.ConnectionRefused{Host: host}})
	}
}

// Call makes one attempt of a plain call from the own host: a hop would add a
// place where the answer of a non-repeatable call can be lost.
func (d *dispatcher) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	upstream, ok := d.manifest.Current().Upstream(dispatch.Upstream)
	if !ok {
		return spoke.PlainAnswer{}, spoke.RefuseNotRun(spoke.CodeNoUpstream, "upstream %s is not configured", dispatch.Upstream)
	}
	return d.plain.Call(ctx, upstream.Address, dispatch.Call)
}
