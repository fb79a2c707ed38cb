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
	// acquireBackoff limits the rate of acquisitions while the store is unavailable or other hosts
	// acquire the lease first.
	acquireBackoff = 500 * time.Millisecond
	// maxKnownAge is the maximum age of a change up to which it counts as known. Larger ones may be far above
	// the true age, so a known age from another host replaces them.
	maxKnownAge = 500 * time.Millisecond
)

// throttledLeases acquires the orders lease only while the directory shows that no host holds it, so
// that hosts do not call the store for a lease that another host holds.
type throttledLeases struct {
	spoke.Leases
	host *Host
	log  logrus.FieldLogger
	// failedAt is when an acquisition last failed. Only the keeper's task uses failedAt and stagger.
	failedAt time.Time
	stagger  lease.Stagger
}

// Acquire acquires the lease. Without a call to the store, it returns spoke.ErrLeaseHeld unless the
// directory shows that the lease is free and the stagger allows this host to acquire it, and
// spoke.ErrUnavailable if the configuration is stale or an acquisition failed within acquireBackoff.
func (l *throttledLeases) Acquire(ctx context.Context, name spoke.LeaseName, holder spoke.HostID, ttl time.Duration) (spoke.Lease, error) {
	current := l.host.ordersHolder.Load()
	if current == nil || *current != "" {
		l.stagger.ObserveHeld()
		return spoke.Lease{}, spoke.ErrLeaseHeld
	}
	if !l.stagger.MayAcquire(time.Now(), int(l.host.ordersRank.Load())) {
		return spoke.Lease{}, spoke.ErrLeaseHeld
	}
	if l.host.conf.isStale() || time.Since(l.failedAt) < acquireBackoff {
		return spoke.Lease{}, spoke.ErrUnavailable
	}
	granted, err := l.Leases.Acquire(ctx, name, holder, ttl)
	if err != nil {
		l.failedAt = time.Now()
		l.log.WithError(err).Info("orders lease not acquired")
	}
	return granted, err
}

// Renew renews the lease and logs a failure to do so.
func (l *throttledLeases) Renew(ctx context.Context, held spoke.Lease, ttl time.Duration) (spoke.Lease, error) {
	renewed, err := l.Leases.Renew(ctx, held, ttl)
	if err != nil {
		l.log.WithError(err).Warn("orders lease not renewed")
	}
	return renewed, err
}

// applyChange passes a change of the directory to the tasks that it concerns.
func (h *Host) applyChange(change spoke.DirectoryChange) {
	h.relayer.evacuations.apply(change, h.post)
	for _, wanted := range change.Weights {
		message := h.weightsMessage(change, wanted)
		h.deps.Log.WithFields(logrus.Fields{
			"model": wanted.Model, "version": wanted.Version, "age": message.Age.String(), "is-estimate": message.IsEstimate,
			"is-snapshot": change.IsSnapshot, "is-direct": h.follower.isDirect.Load(), "revision": change.Revision,
		}).Info("weights wanted")
		h.post(message)
	}
	if change.IsSnapshot || len(change.Upstreams)+len(change.RemovedUpstreams) > 0 {
		h.applyUpstreams(change)
	}
	// A table in force leads calls to its upstreams and services, so the scheduler gets both before.
	if change.Table != nil && h.conf.isNewer(change.Table) {
		h.post(place.SetTable{Services: change.Table.Services, Stores: change.Table.Stores})
		h.conf.install(change.Table, change.TableContent)
		h.deps.Log.WithFields(logrus.Fields{"table": change.Table.Version, "routes": len(change.Table.Routes), "knowledge-age": h.conf.age().String(), "is-direct": h.follower.isDirect.Load()}).Info("routing table in force")
		h.stores.setStores(change.Table.Stores)
	}
	if change.IsSnapshot || len(change.Weights)+len(change.Upstreams)+len(change.RemovedUpstreams) > 0 {
		h.orders.in <- directoryUpdate{change}
		h.stores.updateWeights(change)
	}
	if change.OrdersHolder != nil || change.IsSnapshot {
		h.applyOrdersHolder(change)
	}
	if len(change.Peers)+len(change.RemovedPeers) > 0 {
		h.applyPeers(change)
	}
	h.relayer.evacuations.check()
}

// relayed returns the address of an upstream to which this host connects for others.
func (h *Host) relayed(id spoke.UpstreamID) (spoke.Address, bool) {
	if h.relayer.evacuations.isUpstreamClosed(id) {
		return "", false
	}
	return h.ways.relayed(id)
}

// weightsMessage returns the scheduler's message for wanted weights. A started host cannot know when the
// weights were named, and uses no older ones until its peers report the age.
func (h *Host) weightsMessage(change spoke.DirectoryChange, wanted spoke.WantedWeights) place.SetWantedWeights {
	receivedAt := h.deps.Timer.Now().Add(change.ReceivedAt.Sub(h.deps.LeaseTimer.Now()))
	return place.SetWantedWeights{Wanted: wanted, Age: change.MaxAge, At: receivedAt, IsEstimate: change.MaxAge > maxKnownAge}
}

// post sends a message to the scheduler.
func (h *Host) post(message place.Message) { h.planner.in <- schedulerMessage{message: message} }

func (h *Host) applyUpstreams(change spoke.DirectoryChange) {
	h.relayer.origins.applyUpstreams(change)
	h.relayer.listed.apply(change)
	h.ways.apply(change)
	for _, listed := range change.Upstreams {
		if listed.IsLeaving {
			h.deps.Log.WithField("upstream", listed.ID).Info("upstream is leaving")
		}
	}
	for _, id := range change.RemovedUpstreams {
		h.deps.Log.WithField("upstream", id).Info("upstream is gone")
	}
	h.post(place.SetUpstreams{IsSnapshot: change.IsSnapshot && !change.KeepsUnlisted, Listed: change.Upstreams, Removed: change.RemovedUpstreams, Age: change.MaxAge})
}

// applyOrdersHolder stores the holder of the orders lease; a snapshot of the directory without a holder
// shows that the lease is free.
func (h *Host) applyOrdersHolder(change spoke.DirectoryChange) {
	holder := change.OrdersHolder
	if holder == nil {
		free := spoke.HostID("")
		holder = &free
	}
	h.ordersHolder.Store(holder)
}

func (h *Host) applyPeers(change spoke.DirectoryChange) {
	if change.IsSnapshot && !change.KeepsUnlisted {
		h.peers = make(map[spoke.HostID]spoke.ListedPeer)
	}
	for _, peer := range change.Peers {
		h.peers[peer.ID] = peer
	}
	for _, id := range change.RemovedPeers {
		delete(h.peers, id)
		h.post(place.RemovePeer{Host: id})
	}
	delete(h.peers, h.settings.Host)
	h.planner.peers <- h.groupPeers()
	h.ways.setPeers(slices.Collect(maps.Values(h.peers)))
	h.stores.setPeers(slices.Collect(maps.Keys(h.peers)))
	h.relayer.evacuations.setHosts(slices.Collect(maps.Keys(h.peers)))
}

// groupPeers divides the addresses of the other hosts into those of this host's cell and the rest. It also
// updates ordersRank, the hosts whose directory feeds are polled and those that are told of streams.
func (h *Host) groupPeers() peerAddresses {
	hosts := append(slices.Collect(maps.Keys(h.peers)), h.settings.Host)
	cell, members, count := place.Cells(hosts, h.settings.Host)
	cells := place.CellsOf(hosts)
	h.ordersRank.Store(int64(place.Rank(hosts, h.settings.Host)))
	h.follower.client.setSources(h.directoryWatchers())
	h.follower.contentClient.setSources(h.contentSources())
	addresses := make(map[spoke.HostID]netip.AddrPort, len(h.peers))
	found := peerAddresses{byCell: make(map[int][]netip.AddrPort), cell: place.SetCell{Cell: cell, Count: count, Hosts: slices.Sorted(slices.Values(hosts)), Members: members, HasDelegates: place.HasDelegates(members, h.settings.Host)}}
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		address, err := netip.ParseAddrPort(string(h.peers[id].Address))
		if err != nil {
			h.deps.Log.WithError(err).WithField("peer", id).Warn("peer ignored: invalid address")
			continue
		}
		addresses[id] = address
		if slices.Contains(members, id) {
			found.sameCell = append(found.sameCell, address)
		} else {
			found.otherCells = append(found.otherCells, address)
			found.byCell[cells[id]] = append(found.byCell[cells[id]], address)
		}
	}
	h.offers.setAddresses(addresses)
	h.relayer.origins.setPeers(slices.Collect(maps.Values(h.peers)), addresses)
	h.deps.Log.WithFields(logrus.Fields{"peers": len(h.peers), "cell": cell, "cells": count, "near": len(found.sameCell)}).Info("peers changed")
	return found
}

// directoryWatchers returns the addresses of the hosts that watch the directory for this one, none if
// it is one of them.
func (h *Host) directoryWatchers() []netip.AddrPort {
	watchers := place.Watchers(slices.Collect(maps.Values(h.peers)), h.self())
	if slices.Contains(watchers, h.settings.Host) {
		return nil
	}
	return h.peerAddresses(watchers)
}

// contentSources returns the addresses of the hosts from which this one gets large values of the directory.
func (h *Host) contentSources() []netip.AddrPort {
	return h.peerAddresses(place.ContentSources(slices.Collect(maps.Values(h.peers)), h.self()))
}

func (h *Host) self() spoke.ListedPeer {
	return spoke.ListedPeer{ID: h.settings.Host, DataCentre: h.settings.DataCentre}
}

func (h *Host) peerAddresses(ids []spoke.HostID) []netip.AddrPort {
	var found []netip.AddrPort
	for _, id := range ids {
		if address, err := netip.ParseAddrPort(string(h.peers[id].Address)); err == nil {
			found = append(found, address)
		}
	}
	return found
}
