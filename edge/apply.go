package edge

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/lease"
	"magnoliaspoke.example/spoke/place"
)

const (
	// acquirePause bounds the calls for the lease while the store is away or others are quicker.
	acquirePause = 500 * time.Millisecond
)

// freeLeases asks for the orders lease only while the directory shows that no other host has
// it, so that hosts without it make no calls.
type freeLeases struct {
	spoke.Leases
	host *Host
	log  logrus.FieldLogger
	// failed is when the lease could last not be acquired; only the keeper's task uses it and turn.
	failed time.Time
	turn   lease.Stagger
}

// Acquire takes the lease if it is free.
func (l *freeLeases) Acquire(ctx context.Context, name spoke.LeaseName, holder spoke.HostID, ttl time.Duration) (spoke.Lease, error) {
	known := l.host.holder.Load()
	if known == nil || *known != "" {
		l.turn.ObserveHeld()
		return spoke.Lease{}, spoke.ErrLeaseHeld
	}
	if !l.turn.MayAcquire(time.Now(), int(l.host.rank.Load())) {
		return spoke.Lease{}, spoke.ErrLeaseHeld
	}
	if l.host.known.isStale() || time.Since(l.failed) < acquirePause {
		return spoke.Lease{}, spoke.ErrUnavailable
	}
	granted, err := l.Leases.Acquire(ctx, name, holder, ttl)
	if err != nil {
		l.failed = time.Now()
		l.log.WithError(err).Info("orders lease not acquired")
	}
	return granted, err
}

// Renew renews the lease.
func (l *freeLeases) Renew(ctx context.Context, held spoke.Lease, ttl time.Duration) (spoke.Lease, error) {
	renewed, err := l.Leases.Renew(ctx, held, ttl)
	if err != nil {
		l.log.WithError(err).Warn("orders lease not renewed")
	}
	return renewed, err
}

// apply passes a change of the directory to the tasks that it concerns.
func (h *Host) apply(change spoke.DirectoryChange) {
	if change.Table != nil && h.known.take(change.Table) {
		h.parts.Log.WithFields(logrus.Fields{"table": change.Table.Version, "routes": len(change.Table.Routes)}).Info("routing table in force")
		h.tell(place.SetTable{Services: change.Table.Services, Stores: change.Table.Stores})
		h.stores.set(change.Table.Stores)
	}
	for _, wanted := range change.Weights {
		h.parts.Log.WithFields(logrus.Fields{"model": wanted.Model, "version": wanted.Version}).Info("weights wanted")
		h.tell(h.weightsMessage(change, wanted))
	}
	if change.IsSnapshot || len(change.Upstreams)+len(change.RemovedUpstreams) > 0 {
		h.applyUpstreams(change)
	}
	if change.IsSnapshot || len(change.Weights)+len(change.Upstreams)+len(change.RemovedUpstreams) > 0 {
		h.orders.in <- directoryNews{change}
		h.stores.hear(change)
	}
	if change.OrdersHolder != nil || change.IsSnapshot {
		h.applyHolder(change)
	}
	if len(change.Peers)+len(change.RemovedPeers) > 0 {
		h.applyPeers(change)
	}
}

// weightsMessage tells the scheduler of wanted weights. A host that reads the whole directory does
// not know when they were named, so it counts half of the time in which older weights may be used
// as gone until it hears from its peers. One that was suspended or out of reach counts all the time
// in which it could not see them.
func (h *Host) weightsMessage(change spoke.DirectoryChange, wanted spoke.WantedWeights) place.SetWantedWeights {
	if change.IsSnapshot {
		return place.SetWantedWeights{Wanted: wanted, Age: h.settings.WeightsApply / 2, IsEstimate: true}
	}
	return place.SetWantedWeights{Wanted: wanted, Age: change.MaxAge, IsEstimate: change.MaxAge > 0}
}

func (h *Host) tell(message place.Message) { h.planner.in <- planned{message: message} }

func (h *Host) applyUpstreams(change spoke.DirectoryChange) {
	for _, listed := range change.Upstreams {
		if listed.IsLeaving {
			h.parts.Log.WithField("upstream", listed.ID).Info("upstream is leaving")
		}
	}
	for _, id := range change.RemovedUpstreams {
		h.parts.Log.WithField("upstream", id).Info("upstream is gone")
	}
	h.tell(place.SetUpstreams{IsSnapshot: change.IsSnapshot && !change.KeepsUnlistedUpstreams, Listed: change.Upstreams, Removed: change.RemovedUpstreams})
}

// applyHolder notes who has the orders lease; a whole directory without a holder shows that it is free.
func (h *Host) applyHolder(change spoke.DirectoryChange) {
	holder := change.OrdersHolder
	if holder == nil {
		free := spoke.HostID("")
		holder = &free
	}
	h.holder.Store(holder)
}

func (h *Host) applyPeers(change spoke.DirectoryChange) {
	if change.IsSnapshot {
		h.peers = make(map[spoke.HostID]spoke.ListedPeer)
	}
	for _, peer := range change.Peers {
		h.peers[peer.ID] = peer
	}
	for _, id := range change.RemovedPeers {
		delete(h.peers, id)
		h.tell(place.RemovePeer{Host: id})
	}
	delete(h.peers, h.settings.Host)
	h.planner.peers <- h.neighbours()
	h.stores.setPeers(slices.Collect(maps.Keys(h.peers)))
}

// neighbours divides the other hosts into those of this host's cell and the rest.
func (h *Host) neighbours() neighbours {
	hosts := append(slices.Collect(maps.Keys(h.peers)), h.settings.Host)
	cell, members, count := place.Cells(hosts, h.settings.Host)
	h.rank.Store(int64(place.Rank(hosts, h.settings.Host)))
	h.follower.client.setSources(h.watchers())
	found := neighbours{cell: place.SetCell{Cell: cell, Count: count, HasDelegates: place.HasDelegates(members, h.settings.Host)}}
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		address, err := netip.ParseAddrPort(string(h.peers[id].Address))
		if err != nil {
			h.parts.Log.WithError(err).WithField("peer", id).Warn("peer ignored")
			continue
		}
		if slices.Contains(members, id) {
			found.near = append(found.near, address)
		} else {
			found.other = append(found.other, address)
		}
	}
	h.parts.Log.WithFields(logrus.Fields{"peers": len(h.peers), "cell": cell, "cells": count, "near": len(found.near)}).Info("peers changed")
	return found
}

// watchers returns the addresses of the hosts that watch the directory for this one, none if it is one
// of them.
func (h *Host) watchers() []netip.AddrPort {
	self := spoke.ListedPeer{ID: h.settings.Host, DataCentre: h.settings.DataCentre}
	var found []netip.AddrPort
	for _, id := range place.Watchers(slices.Collect(maps.Values(h.peers)), self) {
		if id == self.ID {
			return nil
		}
		if address, err := netip.ParseAddrPort(string(h.peers[id].Address)); err == nil {
			found = append(found, address)
		}
	}
	return found
}
