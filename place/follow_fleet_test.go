package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	// followStep is the time of one step, which also delays reports.
	followStep = 100 * time.Millisecond
	// followReport is the interval of full reports.
	followReport = time.Second
	// viewTime is how long the last reported state of a store is used.
	viewTime = 2500 * time.Millisecond
	// lossNotices is how long a host repeats that a store is lost or has started again.
	lossNotices = 2500 * time.Millisecond
	// hangTime is how long a call to a store takes that nothing answers.
	hangTime = 2 * time.Second
	// changesWait is how long a call waits for changes of the store.
	changesWait = 300 * time.Millisecond
)

type (
	// followFleet plays hosts that follow one store with a manual clock.
	followFleet struct {
		now   time.Time
		hosts []*followHost
		epoch spoke.StoreEpoch
		// isDown makes the store refuse all calls; hangs makes calls of hosts without a way hang.
		isDown, hangs bool
		sent          []followReportSent
		// calls is the number of calls, maxCallers the highest number of hosts that called within one step.
		calls, maxCallers int
	}

	followHost struct {
		id        spoke.HostID
		following *place.StoreFollowing
		isCut     bool
		isDeafTo  map[spoke.HostID]bool
		// isAway is set while the host is not listed and does not run.
		isAway bool

		sequence           uint64
		callBegan          time.Time
		callEnds           time.Time
		isCalling          bool
		pausedUntil        time.Time
		isPublished        bool
		known              spoke.StoreEpoch
		notice             *place.StoreClaim
		noticeAt           time.Time
		reportedAt         time.Time
		hasNews            bool
		heardAt            time.Time
		view               spoke.StoreEpoch
		confirmedAt        time.Time
		viewAt             time.Time
		publishedSnapshots int
	}

	followReportSent struct {
		from  *followHost
		claim *place.StoreClaim
	}
)

func newFollowFleet(count int) *followFleet {
	f := &followFleet{now: time.Unix(1000, 0), epoch: 1}
	for i := range count {
		f.hosts = append(f.hosts, newFollowHost(spoke.HostID(fmt.Sprintf("host-%03d", i))))
	}
	f.list()
	return f
}

func newFollowHost(id spoke.HostID) *followHost {
	return &followHost{id: id, following: place.NewStoreFollowing(id), isDeafTo: make(map[spoke.HostID]bool)}
}

// list gives all hosts the list of those that run.
func (f *followFleet) list() {
	var order []spoke.HostID
	for _, host := range f.hosts {
		if !host.isAway {
			order = append(order, host.id)
		}
	}
	for _, host := range f.hosts {
		if !host.isAway {
			host.following.SetHosts(f.now, order)
		}
	}
}

// restart starts a host anew, which knows nothing of before and counts its reports from the start.
func (f *followFleet) restart(host *followHost) {
	started := newFollowHost(host.id)
	started.isCut, started.isDeafTo = host.isCut, host.isDeafTo
	*host = *started
	f.list()
}

// run plays a time and returns a violated rule, empty if there is none.
func (f *followFleet) run(during time.Duration) string {
	for end := f.now.Add(during); f.now.Before(end); {
		if violation := f.step(); violation != "" {
			return violation
		}
	}
	return ""
}

func (f *followFleet) step() string {
	f.now = f.now.Add(followStep)
	f.deliver()
	callers := 0
	for i, host := range f.hosts {
		if host.isAway {
			continue
		}
		f.follow(host)
		if host.isCalling {
			callers++
		}
		f.report(host, time.Duration(i%10)*followStep)
	}
	f.maxCallers = max(f.maxCallers, callers)
	return f.checkViews()
}

func (f *followFleet) follow(host *followHost) {
	if host.isCalling && host.isCut && f.hangs {
		// The answer of a call that was made before the cut is lost as well.
		host.callEnds = host.callBegan.Add(hangTime)
	}
	if host.isCalling && !f.now.Before(host.callEnds) {
		host.isCalling = false
		f.endCall(host)
	}
	hearsOthers := f.now.Sub(host.heardAt) <= place.IsolatedAfter
	if !host.following.Follows(f.now, hearsOthers) {
		host.isPublished = false
		return
	}
	if host.isCalling || f.now.Before(host.pausedUntil) {
		return
	}
	f.calls++
	host.isCalling, host.callBegan, host.callEnds = true, f.now, f.now.Add(followStep)
	if host.isPublished {
		host.callEnds = f.now.Add(changesWait)
	}
}

func (f *followFleet) endCall(host *followHost) {
	if !host.following.IsFollowing() {
		return
	}
	if host.isCut || f.isDown {
		host.following.Lose(f.now)
		f.notify(host, place.StoreClaim{IsDown: true})
		return
	}
	from, mayPublish := host.following.Publish(f.now, f.epoch)
	if !mayPublish {
		host.pausedUntil = from
		f.notify(host, place.StoreClaim{IsDown: true, Epoch: f.epoch})
		return
	}
	if !host.isPublished {
		host.publishedSnapshots++
		host.hasNews = true
	}
	host.isPublished, host.known, host.notice = true, f.epoch, nil
	host.view, host.viewAt, host.confirmedAt = f.epoch, host.callBegan, host.callBegan
}

func (f *followFleet) notify(host *followHost, notice place.StoreClaim) {
	host.isPublished, host.hasNews, host.notice, host.noticeAt = false, true, &notice, f.now
}

// report queues a report of a host if a full one is due or it has news.
func (f *followFleet) report(host *followHost, offset time.Duration) {
	if f.now.Sub(host.reportedAt) >= followReport+offset%followReport/10 || host.hasNews {
		host.reportedAt, host.hasNews = f.now, false
		host.sequence++
		f.sent = append(f.sent, followReportSent{host, f.claimOf(host)})
	}
}

func (f *followFleet) claimOf(host *followHost) *place.StoreClaim {
	claim := place.StoreClaim{Host: host.id, Sequence: host.sequence}
	switch {
	case host.isPublished && f.now.Sub(host.confirmedAt) <= place.StoreConfirmation:
		claim.Epoch = host.known
	case host.notice != nil && f.now.Sub(host.noticeAt) <= lossNotices:
		claim.Epoch, claim.IsDown = host.notice.Epoch, true
	default:
		return nil
	}
	return &claim
}

func (f *followFleet) deliver() {
	for _, sent := range f.sent {
		for _, host := range f.hosts {
			if host == sent.from || host.isAway || host.isDeafTo[sent.from.id] {
				continue
			}
			host.heardAt = f.now
			if sent.claim == nil {
				continue
			}
			host.following.Receive(f.now, *sent.claim)
			if !sent.claim.IsDown {
				host.notice, host.view, host.viewAt = nil, sent.claim.Epoch, f.now
			}
		}
	}
	f.sent = nil
}

// checkViews fails if one host uses the state of a start of the store while another uses that of the next one: what
// the first takes for complete may be saved anew by the second.
func (f *followFleet) checkViews() string {
	var used *followHost
	for _, host := range f.hosts {
		if host.isAway || host.view == 0 || f.now.Sub(host.viewAt) > viewTime {
			continue
		}
		if used != nil && used.view != host.view {
			return fmt.Sprintf("%s uses start %d of the store, %s uses start %d", used.id, used.view, host.id, host.view)
		}
		used = host
	}
	return ""
}

func (f *followFleet) followers() []spoke.HostID {
	var found []spoke.HostID
	for _, host := range f.hosts {
		if !host.isAway && host.following.IsFollowing() && host.isPublished {
			found = append(found, host.id)
		}
	}
	return found
}

// awaitFollower plays until exactly one host publishes the store and returns the time that it took.
func (f *followFleet) awaitFollower(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	begin := f.now
	for f.now.Sub(begin) <= limit {
		assert.Equal(t, f.step(), "")
		if len(f.followers()) == 1 {
			return f.now.Sub(begin)
		}
	}
	t.Fatalf("followers after %s: %v", limit, f.followers())
	return 0
}
