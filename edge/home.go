package edge

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/home"
	"magnoliaspoke.example/spoke/place"
)

var (
	// errOtherHomes reports that the homes of a call have changed since its upstream was granted.
	errOtherHomes = errors.New("homes of the call have changed")
	// errNoHomeRelay reports that no other host may relay the connection of a call with homes.
	errNoHomeRelay = eris.New("no other host in the homes of the call takes detours")
)

// homesKey is the key of the homes in the context of a connection that is made for a call.
type homesKey struct{}

// withHomes returns a context for connections that carry a call with homes. The dialer does not know the call.
func withHomes(ctx context.Context, homes home.Set) context.Context {
	if !homes.IsRestricted() {
		return ctx
	}
	return context.WithValue(ctx, homesKey{}, homes)
}

// homesOf returns the homes of the call that a connection is made for.
func homesOf(ctx context.Context) home.Set {
	homes, _ := ctx.Value(homesKey{}).(home.Set)
	return homes
}

// homes returns the regions that may process the call by the configuration under which it arrived and, if another one is
// in force since, by that as well.
func (e *exchange) homes() home.Set {
	lists := [][]spoke.RegionID{e.route.AllowedRegions, e.owner.AllowedRegions}
	if table := e.conf.table.Load(); table.Version != e.table {
		route, isFound := e.findRoute(table)
		lists = append(lists, route.AllowedRegions)
		if isFound && table.NeedsKey(route) {
			lists = append(lists, table.Owners[e.call.APIKey].AllowedRegions)
		}
	}
	return home.Of(lists...)
}

// refuseHomeless refuses the call and returns true if no region may process it.
func (e *exchange) refuseHomeless() bool {
	if !e.homes().IsEmpty() {
		return false
	}
	e.refuse(http.StatusServiceUnavailable, string(place.RefusedNoHome), 0, logrus.Fields{
		"route-regions": e.route.AllowedRegions, "workspace-regions": e.owner.AllowedRegions,
	})
	return true
}

// maySend is called right before the first byte of an attempt is sent, and returns why it must not be.
func (a *attempt) maySend(unsent *unsentAttempt) error {
	if !a.homes().Equal(a.grant.Homes) {
		return errOtherHomes
	}
	if a.grant.Homes.IsRestricted() {
		a.metrics.addHomeAttempt()
	}
	return a.evacuations.send(unsent)
}

// mayRelay returns which other hosts may relay the connection that is made with a context.
func (w *ways) mayRelay(ctx context.Context) func(spoke.ListedPeer) bool {
	homes := homesOf(ctx)
	return func(peer spoke.ListedPeer) bool { return homes.MayRelay(w.regions[peer.DataCentre], w.region) }
}

// mayCarry returns which idle connections may carry a call with homes.
func (w *ways) mayCarry(homes home.Set) func(net.Conn) bool {
	return func(conn net.Conn) bool {
		relayed, isRelayed := conn.(*relayedConn)
		return !isRelayed || homes.MayRelay(relayed.region, w.region)
	}
}
