package edge

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/detour"
)

var (
	// errNoRelay reports that no other host is listed.
	errNoRelay = eris.New("no other host is listed")
	// errAllRefuse reports that all other hosts say that they take no detours.
	errAllRefuse = eris.New("no other host takes detours")
	// errNoWitness reports that no other host that was asked has tried to connect.
	errNoWitness = eris.New("no other host has tried to connect to the upstream")
	// errNotRelayed reports that no other host that was asked has connected.
	errNotRelayed = eris.New("no other host connects to the upstream")
)

type (
	// dialResult is the result of one try to connect.
	dialResult struct {
		conn      net.Conn
		err       error
		isRelayed bool
	}

	// relayAnswers are the answers of other hosts that did not connect to an upstream.
	relayAnswers struct {
		failures error
		// denied lists the hosts that answered without a connection, refused is the error of one that was refused.
		denied  []spoke.HostID
		refused error
		// isContradicted is set once a host got no connection for another reason than a refusal.
		isContradicted bool
	}

	// wayDial makes one connection to a listed upstream.
	wayDial struct {
		*ways
		listed  *listedWay
		address string
	}
)

// Dial connects to an upstream: directly, and through another host if the own way is lost or does not answer soon. An
// error that matches errWayLost does not say whether the upstream runs.
func (w *ways) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	w.mu.Lock()
	listed := w.byAddress[spoke.Address(address)]
	isLost := listed != nil && w.state.IsLost(listed.id)
	w.mu.Unlock()
	if listed == nil {
		return w.direct(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, wayTimeout)
	defer cancel()
	d := &wayDial{ways: w, listed: listed, address: address}
	if isLost {
		return d.dialLost(ctx)
	}
	return d.dialHedged(ctx)
}

// dialLost connects through another host; if none says anything of the upstream, the own way is tried.
func (d *wayDial) dialLost(ctx context.Context) (net.Conn, error) {
	conn, relayed := d.dialRelayed(ctx)
	if relayed == nil || errors.Is(relayed, detour.ErrRefused) {
		return conn, relayed
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, direct := d.dialDirect(ctx)
	if direct != nil {
		return nil, d.failure(direct, relayed)
	}
	return conn, nil
}

// dialHedged connects directly, and asks another host as well if that fails or takes long. The first connection is used.
func (d *wayDial) dialHedged(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, 2)
	start := func(isRelayed bool, dial func(context.Context) (net.Conn, error)) {
		go func() {
			conn, err := dial(ctx)
			results <- dialResult{conn: conn, err: err, isRelayed: isRelayed}
		}()
	}
	start(false, d.dialDirect)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	var direct, relayed error
	pending, isHedged := 1, false
	for pending > 0 {
		isDue := false
		select {
		case <-hedge.C:
			isDue = true
		case result := <-results:
			pending--
			if result.err == nil {
				go closeLate(results, pending)
				return d.take(result), nil
			}
			if result.isRelayed {
				relayed = result.err
			} else {
				direct, isDue = result.err, true
			}
		}
		if isDue && !isHedged {
			isHedged = true
			pending++
			start(true, d.dialRelayed)
		}
	}
	return nil, d.failure(direct, relayed)
}

// closeLate closes the connections of tries that are no longer needed.
func closeLate(results <-chan dialResult, pending int) {
	for range pending {
		if late := <-results; late.err == nil {
			_ = late.conn.Close()
		}
	}
}

// take returns the connection that was made first. One through another host shows that the own way failed.
func (d *wayDial) take(result dialResult) net.Conn {
	if result.isRelayed {
		d.change(func() { d.probeAll(context.Background(), d.state.Bypassed(d.now(), d.listed.id)) })
	}
	return result.conn
}

// failure returns the error of a connection that could neither be made directly nor through another host. A refusal of the
// direct one may come from the network if another host was not refused, so it is not wrapped then.
func (d *wayDial) failure(direct, relayed error) error {
	if errors.Is(relayed, detour.ErrRefused) {
		return relayed
	}
	if errors.Is(relayed, errNoRelay) {
		return direct
	}
	d.change(func() { d.probeAll(context.Background(), d.state.Suspect(d.now())) })
	if errors.Is(relayed, errNoWitness) && !d.isCutOff() {
		return direct
	}
	return eris.Wrapf(errWayLost, "directly: %v; through other hosts: %v", direct, relayed)
}

// dialDirect connects on the own way.
func (d *wayDial) dialDirect(ctx context.Context) (net.Conn, error) {
	begun := d.now()
	conn, err := d.direct(ctx, "tcp", d.address)
	if err != nil {
		if ctx.Err() == nil {
			d.onFailed(d.listed.id)
		}
		return nil, err
	}
	d.connected(d.listed.id, begun)
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return conn, nil
	}
	return &directConn{TCPConn: tcp, activity: d.listed.activity}, nil
}

// dialRelayed connects through another host. A relaying host that is refused may be cut off itself, so the next one is
// asked as well.
func (d *wayDial) dialRelayed(ctx context.Context) (net.Conn, error) {
	d.mu.Lock()
	relays, count := d.relays.ChooseAmong(d.now(), d.listed.id, maxDetourTries, d.mayRelay(ctx)), d.relays.Count()
	d.mu.Unlock()
	if count == 0 {
		return nil, errNoRelay
	}
	if len(relays) == 0 && homesOf(ctx).IsRestricted() {
		return nil, errNoHomeRelay
	}
	answers := relayAnswers{}
	for _, relay := range relays {
		conn, err := d.dialThrough(ctx, relay)
		if err == nil {
			d.relaysFailed(answers.denied)
			d.setRelayed(true)
			return conn, nil
		}
		answers.add(relay.ID, err)
		if errors.Is(err, detour.ErrRelay) && ctx.Err() == nil {
			d.relaysFailed([]spoke.HostID{relay.ID})
		}
	}
	err := answers.err()
	if errors.Is(err, detour.ErrRefused) {
		d.setRelayed(false)
	}
	return nil, err
}

// setRelayed records whether another host has connected to the upstream.
func (d *wayDial) setRelayed(isConnected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Relayed(d.listed.id, isConnected)
}

// relaysFailed records that hosts could not be used as relays.
func (d *wayDial) relaysFailed(hosts []spoke.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, host := range hosts {
		d.relays.Failed(d.now(), host)
	}
}

// dialThrough connects through one other host.
func (d *wayDial) dialThrough(ctx context.Context, relay spoke.ListedPeer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	conn, err := d.detours.Dial(ctx, relay.Address, d.listed.id)
	if err != nil {
		return nil, err
	}
	d.metrics.addDetour()
	return newRelayedConn(conn, relay.ID, d.regions[relay.DataCentre]), nil
}

func (a *relayAnswers) add(host spoke.HostID, err error) {
	a.failures = errors.Join(a.failures, err)
	switch {
	case errors.Is(err, detour.ErrRefused):
		a.refused = err
	case errors.Is(err, detour.ErrUnreachable):
		a.isContradicted = true
	case errors.Is(err, detour.ErrRelay):
		return
	}
	a.denied = append(a.denied, host)
}

// err returns the error of all answers; it matches detour.ErrRefused only if each host that tried was refused.
func (a *relayAnswers) err() error {
	switch {
	case a.failures == nil:
		return errAllRefuse
	case a.isContradicted:
		return eris.Wrap(errNotRelayed, a.failures.Error())
	case a.refused != nil:
		return a.refused
	}
	return eris.Wrap(errNoWitness, a.failures.Error())
}
