package soak

import (
	"fmt"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// wayHang leaves open connections and connects without answers.
	wayHang wayForm = "hang"
	// wayReset resets open connections and refuses new ones.
	wayReset wayForm = "reset"
	// wayRefuse refuses new connections while open ones live on.
	wayRefuse wayForm = "refuse-new"
	// waySound is the form of ways that are not cut.
	waySound wayForm = "sound"
)

type (
	// wayForm is the state of a host's ways to engines.
	wayForm string

	// hostWays are the ways of a host to all engines, at an IP number of its own and the ports of the engines.
	hostWays struct {
		address netip.Addr

		mu     sync.Mutex
		form   wayForm
		relays map[spoke.Address]*relay.Relay
	}
)

// newHostWays returns the ways of the host with a number.
func newHostWays(number int) *hostWays {
	return &hostWays{address: netip.AddrFrom4([4]byte{127, 0, 1, byte(number + 1)}), form: waySound, relays: make(map[spoke.Address]*relay.Relay)}
}

// add adds the way to an engine.
func (w *hostWays) add(engine spoke.Address) error {
	target, err := netip.ParseAddrPort(string(engine))
	if err != nil {
		return eris.Wrapf(err, "engine at %q", engine)
	}
	own := netip.AddrPortFrom(w.address, target.Port())
	way, err := relay.New(spoke.Address(own.String()), engine, relay.WithDroppedConnects())
	if err != nil {
		return eris.Wrapf(err, "way %s", own)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relays[engine] = way
	w.form.apply(way, engine)
	return nil
}

// remove removes the way to an engine.
func (w *hostWays) remove(engine spoke.Address) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.relays[engine].Close()
	delete(w.relays, engine)
}

// set gives all ways a form.
func (w *hostWays) set(form wayForm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.form = form
	for engine, way := range w.relays {
		form.apply(way, engine)
	}
}

func (w *hostWays) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, way := range w.relays {
		_ = way.Close()
	}
}

// apply gives a way to an engine the form.
func (f wayForm) apply(way *relay.Relay, engine spoke.Address) {
	switch f {
	case wayHang:
		way.Cut()
	case wayReset:
		way.SetTarget("")
		way.Reset()
	case wayRefuse:
		way.SetTarget("")
	default:
		way.SetTarget(engine)
		way.Restore()
	}
}

// variable returns the environment variable that gives a host its settings and its ways.
func (w *hostWays) variable(settings string) string {
	return fmt.Sprintf("%s=%s %s", HostVariable, settings, w.address)
}
