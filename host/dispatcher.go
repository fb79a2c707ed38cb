package host

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/wire"
)

type (
	// dispatcher sends attempts to the owner of their upstream, and plain calls to the upstream.
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

// Dispatch starts an attempt at the owner, over one hop unless this host is the owner.
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
		d.markUnreachable(ctx, owner, err)
		return nil, err
	}
	return stream, nil
}

// markUnreachable excludes a host from ownership at once if it did not respond; its next heartbeat
// restores it. A host that refuses one run remains an owner.
func (d *dispatcher) markUnreachable(ctx context.Context, host spoke.HostID, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, spoke.ErrOwnerLost) {
		_ = d.members.post(ctx, memberRequest{message: member.ConnectionRefused{Host: host}})
	}
}

// Call makes one attempt of a plain call directly from this host: a hop would add a point where
// the answer of a non-repeatable call can be lost.
func (d *dispatcher) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	upstream, ok := d.manifest.Current().Upstream(dispatch.Upstream)
	if !ok {
		return spoke.PlainAnswer{}, spoke.RefuseNotRun(spoke.CodeNoUpstream, "upstream %s is not configured", dispatch.Upstream)
	}
	answer, err := d.plain.Call(ctx, upstream.Address, dispatch.Call)
	if err == nil && answer.EndsWithConnection && d.hasEnded(ctx, upstream) {
		return spoke.PlainAnswer{}, eris.Wrapf(spoke.ErrIncomplete, "upstream %s ended with its answer to attempt %s, which has neither a length nor chunks", upstream.ID, dispatch.Call.Attempt)
	}
	return answer, err
}

// hasEnded reports whether the process of an upstream has ended. The kernel ends the answers of a killed process in the
// regular way. One that leaves and ends behind its last answer looks like one that is killed while it leaves, and nothing
// here tells them apart, so that its answer counts as incomplete.
func (d *dispatcher) hasEnded(ctx context.Context, asked spoke.Upstream) bool {
	if !dial.HasEnded(ctx, string(asked.Address)) {
		return false
	}
	upstream, ok := d.manifest.Current().Upstream(asked.ID)
	return ok && upstream.Address == asked.Address
}
