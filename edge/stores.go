package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/place"
	"magnoliaspoke.example/spoke/route"
)

const (
	// storeEventsWait is how long a call waits for changes of a store. Two such calls and the steps between them have to
	// fit into place.StoreConfirmation; calls that wait less than 200 ms are priced.
	storeEventsWait = 250 * time.Millisecond
	// storeInterval is the interval at which stores are called, so that changes are batched.
	storeInterval = 150 * time.Millisecond
	// maxFreedParts bounds the parts that one call frees.
	maxFreedParts = 400
)

type (
	storesUpdate     struct{ stores []spoke.PromptStore }
	peersUpdate      struct{ hosts []spoke.HostID }
	weightsUpdate    struct{ change spoke.DirectoryChange }
	conflictingStore struct{ store spoke.ServiceName }
	storeClaims      struct {
		host     spoke.HostID
		sequence uint64
		states   []spoke.StoreState
	}
	storeResult struct {
		// from is the store as it was listed at the call, which began at began.
		from       *followedStore
		began      time.Time
		events     spoke.StoreEvents
		isSnapshot bool
		err        error
	}
	freeResult struct {
		store spoke.ServiceName
		err   error
	}

	// followedStore is a prompt store that this host may follow.
	followedStore struct {
		spoke.PromptStore
		epoch spoke.StoreEpoch
		next  int64
		// isPublished is set while this host publishes the state of the store, isDown after the store did not answer it.
		isPublished, isDown bool
		// isBusy is set while a call to the store is in flight.
		isBusy      bool
		pausedUntil time.Time
		used        spoke.TokenCount
		parts       map[spoke.StoredPart]spoke.TokenCount
		reclaimer   *place.Reclaimer
		following   *place.StoreFollowing
	}

	// storeFollowers is the task that follows prompt stores in its turn among the listed hosts and publishes their
	// content, so that each store is polled by one host only.
	storeFollowers struct {
		host    spoke.HostID
		control spoke.StoreControl
		timer   spoke.Timer
		planner *planner
		conf    *configState
		log     logrus.FieldLogger
		in      chan any

		// hosts holds the listed hosts and this one, nothing before the list is known.
		hosts    []spoke.HostID
		stores   map[spoke.ServiceName]*followedStore
		outdated *place.OutdatedWeights
	}
)

func newStoreFollowers(settings config.Relay, deps Dependencies, p *planner, conf *configState) *storeFollowers {
	return &storeFollowers{
		host: settings.Host, control: deps.Stores, timer: deps.Timer, planner: p, log: deps.Log, conf: conf,
		in: make(chan any, queueLength), stores: make(map[spoke.ServiceName]*followedStore),
		outdated: place.NewOutdatedWeights(settings.WeightsApply),
	}
}

func (f *storeFollowers) setStores(stores []spoke.PromptStore)       { f.in <- storesUpdate{stores} }
func (f *storeFollowers) setPeers(hosts []spoke.HostID)              { f.in <- peersUpdate{hosts} }
func (f *storeFollowers) updateWeights(change spoke.DirectoryChange) { f.in <- weightsUpdate{change} }
func (f *storeFollowers) send(ctx context.Context, m any)            { sendTo(ctx, f.in, m) }

// recordConflict records that another host reports a store as well. It does not block, since the task of f
// may itself be waiting to send to the calling task; the next load report repeats a dropped record.
func (f *storeFollowers) recordConflict(store spoke.ServiceName) {
	select {
	case f.in <- conflictingStore{store}:
	default:
	}
}

// receive passes on what the report of another host says of stores. Like recordConflict, it does not block.
func (f *storeFollowers) receive(report spoke.HostReport) {
	if len(report.Stores) == 0 {
		return
	}
	select {
	case f.in <- storeClaims{report.Host, report.Sequence, report.Stores}:
	default:
	}
}

func (f *storeFollowers) orderOf(store spoke.ServiceName) []spoke.HostID {
	return route.Order(spoke.UpstreamID(store), f.hosts)
}

// run follows stores until ctx ends.
func (f *storeFollowers) run(ctx context.Context) error {
	return runTask(ctx, f.timer, storeInterval, f.in, f.handle, f.step)
}

func (f *storeFollowers) handle(message any) {
	switch m := message.(type) {
	case storesUpdate:
		f.applyStores(m.stores)
	case peersUpdate:
		f.hosts = append(slices.Clone(m.hosts), f.host)
		for name, st := range f.stores {
			st.following.SetHosts(f.timer.Now(), f.orderOf(name))
		}
	case storeClaims:
		f.applyClaims(m)
	case weightsUpdate:
		f.applyWeights(m.change)
	case conflictingStore:
		if st := f.stores[m.store]; st != nil {
			st.reclaimer.Reset()
		}
	case storeResult:
		f.handleStoreResult(m)
	case freeResult:
		st := f.stores[m.store]
		if st == nil {
			return
		}
		st.isBusy = false
		if m.err != nil {
			f.log.WithError(m.err).WithField("store", m.store).Warn("parts of older weights not freed")
		}
	}
}

// applyClaims applies what another host reports of stores; the last of several states of one store counts.
func (f *storeFollowers) applyClaims(m storeClaims) {
	last := make(map[spoke.ServiceName]spoke.StoreState, len(m.states))
	for _, state := range m.states {
		last[state.Store] = state
	}
	for name, state := range last {
		if st := f.stores[name]; st != nil {
			st.following.Receive(f.timer.Now(), place.StoreClaim{Host: m.host, Sequence: m.sequence, Epoch: state.Epoch, IsDown: state.IsDown})
		}
	}
}

func (f *storeFollowers) applyWeights(change spoke.DirectoryChange) {
	now := f.timer.Now()
	for _, wanted := range change.Weights {
		f.outdated.SetWanted(now, wanted)
	}
	isSnapshot := change.IsSnapshot && !change.KeepsUnlisted
	f.outdated.SetUpstreams(isSnapshot, change.Upstreams, change.RemovedUpstreams)
}

func (f *storeFollowers) applyStores(stores []spoke.PromptStore) {
	previous := f.stores
	f.stores = make(map[spoke.ServiceName]*followedStore)
	for _, settings := range stores {
		st := previous[settings.Name]
		if st == nil || st.Address != settings.Address {
			st = &followedStore{
				parts: make(map[spoke.StoredPart]spoke.TokenCount), reclaimer: place.NewReclaimer(), following: place.NewStoreFollowing(f.host),
			}
			if len(f.hosts) > 0 {
				st.following.SetHosts(f.timer.Now(), f.orderOf(settings.Name))
			}
		}
		st.PromptStore = settings
		f.stores[settings.Name] = st
	}
}

// step makes the next call to each store that this host follows.
func (f *storeFollowers) step(ctx context.Context) {
	now := f.timer.Now()
	isIsolated := len(f.hosts) > 1 && f.conf.isIsolated(place.IsolatedAfter)
	hearsOthers := f.conf.hearsOthers(place.IsolatedAfter)
	for _, name := range slices.Sorted(maps.Keys(f.stores)) {
		st := f.stores[name]
		if isIsolated {
			st.following.Stop()
		}
		switch {
		case isIsolated || !st.following.Follows(now, hearsOthers):
			f.leave(st)
		case st.isBusy || now.Before(st.pausedUntil):
		default:
			f.callStore(ctx, now, st)
		}
	}
}

// leave ends what this host knows of a store that it does not follow, since that will be out of date when it takes over
// again.
func (f *storeFollowers) leave(st *followedStore) {
	st.epoch = 0
	st.reclaimer.Reset()
	if !st.isPublished {
		return
	}
	st.isPublished = false
	f.log.WithField("store", st.Name).Info("store is left to another host")
	f.planner.in <- schedulerMessage{message: place.StopFollowing{Store: st.Name}}
}

// callStore frees parts that no call can use any more, or waits for changes of the store.
func (f *storeFollowers) callStore(ctx context.Context, now time.Time, st *followedStore) {
	if st.epoch != 0 {
		if outdated := f.outdatedParts(now, st); len(outdated) > 0 {
			f.free(ctx, st, outdated)
			return
		}
	}
	f.poll(ctx, st)
}

func (f *storeFollowers) poll(ctx context.Context, st *followedStore) {
	st.isBusy = true
	at, since, isSnapshot := st.Address, st.next, st.epoch == 0
	result := storeResult{from: st, began: f.timer.Now(), isSnapshot: isSnapshot}
	go func() {
		if isSnapshot {
			result.events, result.err = f.control.StoreContent(ctx, at)
		} else {
			result.events, result.err = f.control.StoreEvents(ctx, at, since, storeEventsWait)
		}
		f.send(ctx, result)
	}()
}

func (f *storeFollowers) handleStoreResult(m storeResult) {
	st := m.from
	if f.stores[st.Name] != st {
		// The store has been listed again since, perhaps at another address.
		return
	}
	st.isBusy = false
	if !st.following.IsFollowing() || (!m.isSnapshot && st.epoch == 0) {
		return
	}
	if m.err == nil && f.timer.Now().Sub(m.began) >= place.StoreRetryDelay {
		// The process was suspended: another host may have published a later start of the store meanwhile.
		return
	}
	if m.err != nil {
		f.handleLoss(st, m.err)
		return
	}
	if !m.isSnapshot && (m.events.HasGap || m.events.Epoch != st.epoch) {
		f.log.WithFields(logrus.Fields{"store": st.Name, "epoch": m.events.Epoch, "gap": m.events.HasGap}).Info("store is listed again")
		if m.events.Epoch == st.epoch {
			st.epoch = 0
			return
		}
	}
	if from, mayPublish := st.following.Publish(f.timer.Now(), m.events.Epoch); !mayPublish {
		st.epoch, st.pausedUntil, st.isPublished = 0, from, false
		f.publish(m.began, spoke.StoreState{Store: st.Name, Epoch: m.events.Epoch, IsDown: true})
		return
	}
	if !st.isPublished {
		f.log.WithFields(logrus.Fields{"store": st.Name, "epoch": m.events.Epoch, "was-lost": st.isDown}).Info("store is followed")
	}
	st.isPublished, st.isDown = true, false
	if m.isSnapshot {
		st.parts, st.used = make(map[spoke.StoredPart]spoke.TokenCount), 0
	}
	st.epoch, st.next = m.events.Epoch, m.events.Next
	state := st.applyEvents(m.events)
	now := f.timer.Now()
	state.Clock, state.Oldest = m.events.Clock, f.outdated.OldestUsable(now)
	st.reclaimer.Publish(now, state.Oldest)
	f.publish(m.began, state)
}

// applyEvents applies changes of the store and returns the state to publish to the other hosts.
func (st *followedStore) applyEvents(events spoke.StoreEvents) spoke.StoreState {
	state := spoke.StoreState{Store: st.Name, Epoch: st.epoch}
	for _, event := range events.Events {
		key := place.StoredKeyOf(event.StoredPart)
		st.used -= st.parts[event.StoredPart]
		if event.IsStored {
			st.parts[event.StoredPart] = event.Tokens
			st.used += event.Tokens
			state.Stored = append(state.Stored, key)
			continue
		}
		delete(st.parts, event.StoredPart)
		state.Freed = append(state.Freed, key)
	}
	state.Used = st.used
	return state
}

func (f *storeFollowers) handleLoss(st *followedStore, err error) {
	if !st.isDown {
		f.log.WithError(err).WithField("store", st.Name).Warn("store lost")
	}
	st.isDown, st.isPublished, st.epoch = true, false, 0
	st.following.Lose(f.timer.Now())
	f.publish(f.timer.Now(), spoke.StoreState{Store: st.Name, IsDown: true})
}

// publish passes on the state of a store that answered a call which began at the given time, or that did not answer.
func (f *storeFollowers) publish(began time.Time, state spoke.StoreState) {
	f.planner.in <- schedulerMessage{message: place.UpdateStore{State: state, At: began}}
}

// outdatedParts returns parts of the store that no host can copy any more, up to maxFreedParts.
func (f *storeFollowers) outdatedParts(now time.Time, st *followedStore) []spoke.StoredPart {
	var outdated []spoke.StoredPart
	// A store holds many parts of few groups, so the result is cached by group.
	byGroup := make(map[string]bool)
	for part := range st.parts {
		isOutdated, known := byGroup[part.Group]
		if !known {
			isOutdated = st.reclaimer.MayFree(now, part.Group)
			byGroup[part.Group] = isOutdated
		}
		if !isOutdated {
			continue
		}
		if outdated = append(outdated, part); len(outdated) == maxFreedParts {
			break
		}
	}
	return outdated
}

// free frees parts of older weights; the events of the store report when they are gone.
func (f *storeFollowers) free(ctx context.Context, st *followedStore, outdated []spoke.StoredPart) {
	name, at, epoch := st.Name, st.Address, st.epoch
	st.isBusy = true
	for _, part := range outdated {
		st.used -= st.parts[part]
		delete(st.parts, part)
	}
	f.log.WithFields(logrus.Fields{"store": name, "parts": len(outdated)}).Info("parts of older weights freed")
	go func() { f.send(ctx, freeResult{store: name, err: f.control.FreeParts(ctx, at, epoch, outdated)}) }()
}
