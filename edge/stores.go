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
	// storeWait is long enough for a waiting call to cost nothing.
	storeWait = time.Second
	// storeGap gathers the changes of a store.
	storeGap = 150 * time.Millisecond
	// storeRetry is the pause after a store did not answer or turned out to be another one. It is
	// longer than hosts that hear nothing use what they know, so that none of them copies a part
	// that is being saved anew.
	storeRetry = 3 * time.Second
	// mostFreed bounds the parts that one call frees.
	mostFreed = 400
)

type (
	storesNews  struct{ stores []spoke.PromptStore }
	peersNews   struct{ hosts []spoke.HostID }
	weightsNews struct{ change spoke.DirectoryChange }
	contestNews struct{ store spoke.ServiceName }
	storeResult struct {
		store   spoke.ServiceName
		events  spoke.StoreEvents
		isWhole bool
		err     error
	}
	freeResult struct {
		store spoke.ServiceName
		err   error
	}

	// followed is a prompt store that this host may follow.
	followed struct {
		spoke.PromptStore
		epoch  spoke.StoreEpoch
		next   int64
		isDown bool
		// isBusy says that a call is under way.
		isBusy  bool
		pauseTo time.Time
		used    spoke.TokenCount
		parts   map[spoke.StoredPart]spoke.TokenCount
		freeing *place.Reclaimer
	}

	// storeFollowers is the task that follows the prompt stores of which this host is in charge,
	// so that all hosts know what they hold at the cost of one.
	storeFollowers struct {
		host    spoke.HostID
		control spoke.StoreControl
		timer   spoke.Timer
		planner *planner
		known   *knowledge
		log     logrus.FieldLogger
		in      chan any

		hosts    []spoke.HostID
		stores   map[spoke.ServiceName]*followed
		outdated *place.OutdatedWeights
	}
)

func newStoreFollowers(settings config.Relay, parts Dependencies, p *planner, known *knowledge) *storeFollowers {
	return &storeFollowers{
		host: settings.Host, control: parts.Stores, timer: parts.Timer, planner: p, log: parts.Log, known: known,
		in: make(chan any, planQueue), hosts: []spoke.HostID{settings.Host}, stores: make(map[spoke.ServiceName]*followed),
		outdated: place.NewOutdatedWeights(settings.WeightsApply),
	}
}

func (f *storeFollowers) set(stores []spoke.PromptStore)     { f.in <- storesNews{stores} }
func (f *storeFollowers) setPeers(hosts []spoke.HostID)      { f.in <- peersNews{hosts} }
func (f *storeFollowers) hear(change spoke.DirectoryChange)  { f.in <- weightsNews{change} }
func (f *storeFollowers) send(ctx context.Context, m any)    { sendTo(ctx, f.in, m) }
func (f *storeFollowers) isOwn(store spoke.ServiceName) bool { return f.ownerOf(store) == f.host }

// contest notes that another host tells of a store. It does not wait, since the caller's own queue
// may be what this task waits for; the next account repeats the news.
func (f *storeFollowers) contest(store spoke.ServiceName) {
	select {
	case f.in <- contestNews{store}:
	default:
	}
}

func (f *storeFollowers) ownerOf(store spoke.ServiceName) spoke.HostID {
	return route.Owner(spoke.UpstreamID(store), f.hosts)
}

// run follows stores until ctx ends.
func (f *storeFollowers) run(ctx context.Context) error {
	return runTask(ctx, f.timer, storeGap, f.in, f.take, f.step)
}

func (f *storeFollowers) take(message any) {
	switch m := message.(type) {
	case storesNews:
		f.takeStores(m.stores)
	case peersNews:
		f.hosts = append(slices.Clone(m.hosts), f.host)
		slices.Sort(f.hosts)
	case weightsNews:
		f.takeWeights(m.change)
	case contestNews:
		if st := f.stores[m.store]; st != nil {
			st.freeing.Reset()
		}
	case storeResult:
		f.takeResult(m)
	case freeResult:
		st := f.stores[m.store]
		if st == nil {
			return
		}
		st.isBusy = false
		if m.err != nil {
			f.log.WithError(m.err).WithField("store", m.store).Warn("parts not freed")
		}
	}
}

func (f *storeFollowers) takeWeights(change spoke.DirectoryChange) {
	now := f.timer.Now()
	for _, wanted := range change.Weights {
		f.outdated.SetWanted(now, wanted)
	}
	isWhole := change.IsSnapshot && !change.KeepsUnlistedUpstreams
	f.outdated.SetUpstreams(isWhole, change.Upstreams, change.RemovedUpstreams)
}

func (f *storeFollowers) takeStores(stores []spoke.PromptStore) {
	known := f.stores
	f.stores = make(map[spoke.ServiceName]*followed)
	for _, settings := range stores {
		st := known[settings.Name]
		if st == nil || st.Address != settings.Address {
			st = &followed{parts: make(map[spoke.StoredPart]spoke.TokenCount), freeing: place.NewReclaimer()}
		}
		st.PromptStore = settings
		f.stores[settings.Name] = st
	}
}

// step makes the next call to each store of which this host is in charge.
func (f *storeFollowers) step(ctx context.Context) {
	now := f.timer.Now()
	isIsolated := len(f.hosts) > 1 && f.known.isIsolated(place.IsolatedAfter)
	for _, name := range slices.Sorted(maps.Keys(f.stores)) {
		st := f.stores[name]
		switch {
		case isIsolated || !f.isOwn(name):
			// What is known is out of date when this host takes over again.
			st.epoch = 0
			st.freeing.Reset()
		case st.isBusy || now.Before(st.pauseTo):
		default:
			f.call(ctx, now, st)
		}
	}
}

// call frees what no call can use any more, or waits for changes of the store.
func (f *storeFollowers) call(ctx context.Context, now time.Time, st *followed) {
	if st.epoch != 0 {
		if old := f.oldParts(now, st); len(old) > 0 {
			f.free(ctx, st, old)
			return
		}
	}
	f.poll(ctx, st)
}

func (f *storeFollowers) poll(ctx context.Context, st *followed) {
	st.isBusy = true
	name, at, since, isWhole := st.Name, st.Address, st.next, st.epoch == 0
	go func() {
		result := storeResult{store: name, isWhole: isWhole}
		if isWhole {
			result.events, result.err = f.control.StoreContent(ctx, at)
		} else {
			result.events, result.err = f.control.StoreEvents(ctx, at, since, storeWait)
		}
		f.send(ctx, result)
	}()
}

func (f *storeFollowers) takeResult(m storeResult) {
	st := f.stores[m.store]
	if st == nil {
		return
	}
	st.isBusy = false
	if m.err != nil {
		f.lost(st, m.err)
		return
	}
	if !m.isWhole && (m.events.HasGap || m.events.Epoch != st.epoch) {
		f.log.WithFields(logrus.Fields{"store": m.store, "epoch": m.events.Epoch, "gap": m.events.HasGap}).Info("store is listed again")
		if m.events.Epoch == st.epoch {
			st.epoch = 0
			return
		}
		st.epoch = 0
		st.pauseTo = f.timer.Now().Add(storeRetry)
		f.tell(spoke.StoreState{Store: m.store, IsDown: true})
		return
	}
	if st.isDown {
		f.log.WithField("store", m.store).Info("store regained")
	}
	st.isDown = false
	if m.isWhole {
		st.parts, st.used = make(map[spoke.StoredPart]spoke.TokenCount), 0
	}
	st.epoch, st.next = m.events.Epoch, m.events.Next
	state := st.apply(m.events)
	now := f.timer.Now()
	state.Clock, state.Oldest = m.events.Clock, f.outdated.OldestUsable(now)
	st.freeing.Publish(now, state.Oldest)
	f.tell(state)
}

// apply takes the changes of the store and returns what other hosts should know.
func (st *followed) apply(events spoke.StoreEvents) spoke.StoreState {
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

func (f *storeFollowers) lost(st *followed, err error) {
	if !st.isDown {
		f.log.WithError(err).WithField("store", st.Name).Warn("store lost")
	}
	st.isDown, st.epoch = true, 0
	st.pauseTo = f.timer.Now().Add(storeRetry)
	f.tell(spoke.StoreState{Store: st.Name, IsDown: true})
}

func (f *storeFollowers) tell(state spoke.StoreState) {
	f.planner.in <- planned{message: place.UpdateStore{State: state}}
}

// oldParts returns parts of the store that no host can copy any more, as many as one call frees.
func (f *storeFollowers) oldParts(now time.Time, st *followed) []spoke.StoredPart {
	var old []spoke.StoredPart
	// A store holds many parts of few groups.
	isOld := make(map[string]bool)
	for part := range st.parts {
		verdict, known := isOld[part.Group]
		if !known {
			verdict = st.freeing.MayFree(now, part.Group)
			isOld[part.Group] = verdict
		}
		if !verdict {
			continue
		}
		if old = append(old, part); len(old) == mostFreed {
			break
		}
	}
	return old
}

// free frees parts of older weights; the store's events say when they are gone.
func (f *storeFollowers) free(ctx context.Context, st *followed, old []spoke.StoredPart) {
	name, at, epoch := st.Name, st.Address, st.epoch
	st.isBusy = true
	for _, part := range old {
		st.used -= st.parts[part]
		delete(st.parts, part)
	}
	f.log.WithFields(logrus.Fields{"store": name, "parts": len(old)}).Info("parts of older weights freed")
	go func() { f.send(ctx, freeResult{store: name, err: f.control.FreeParts(ctx, at, epoch, old)}) }()
}
