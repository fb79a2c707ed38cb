package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/peers"
)

const (
	// hostsOfTwoCells is a number of hosts that forms two cells.
	hostsOfTwoCells = 18
	// fullReportTime is the time after which a host repeats what it reports.
	fullReportTime = time.Second
	// engineSlots and promptTokens are those of the engines and prompts of the tests.
	engineSlots  = 8
	promptTokens = 300
)

// fakePeer is a host that only exchanges load reports.
type fakePeer struct {
	id     spoke.HostID
	socket *peers.Socket
	// remaining is the time until the marks that it reports are probed.
	remaining time.Duration
	mu        sync.Mutex
	sequence  uint64
	received  []spoke.HostReport
	at        []time.Time
}

// list lists the peer in the directory.
func (p *fakePeer) list(d *deployment) {
	d.store.Put("spoke/hosts/"+string(p.id), map[string]any{"data-centre": "a", "address": string(p.socket.Address())})
}

// startPeer starts a peer that is not listed in the directory yet.
func startPeer(t *testing.T, id spoke.HostID) *fakePeer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	socket, err := peers.Listen(netip.MustParseAddrPort("127.0.0.1:0"), log)
	assert.NilError(t, err)
	p := &fakePeer{id: id, socket: socket, remaining: 30 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = socket.Receive(ctx, p.receive) }()
	return p
}

func (p *fakePeer) receive(report spoke.HostReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received, p.at = append(p.received, report), append(p.at, time.Now())
}

// crashReportedAt returns the time of the first report with a crash, the zero time if there is none.
func (p *fakePeer) crashReportedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, report := range p.received {
		if len(report.Crashes.Crashes) > 0 {
			return p.at[i]
		}
	}
	return time.Time{}
}

// waitingTokens returns the prompt tokens of the calls that wait at the host which reported last.
func (p *fakePeer) waitingTokens() spoke.TokenCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tokens spoke.TokenCount
	if len(p.received) > 0 {
		for _, waiting := range p.received[len(p.received)-1].Waiting {
			tokens += waiting.Tokens
		}
	}
	return tokens
}

// send sends the next load report of the peer to a host.
func (p *fakePeer) send(d *deployment, report spoke.HostReport) {
	p.sequence++
	report.Host, report.Sequence = p.id, p.sequence
	p.socket.Send(report, []netip.AddrPort{netip.AddrPortFrom(d.settings.Address, uint16(d.settings.PeerPort))})
}

// sendMark reports a mark of the crashing part, or the end of one.
func (p *fakePeer) sendMark(d *deployment, revision uint64, isEnded bool) {
	mark := spoke.PartMark{Part: crash.HashPart(crashingPart), Revision: revision, Term: 30 * time.Second, Remaining: p.remaining, IsEnded: isEnded}
	p.send(d, spoke.HostReport{Crashes: spoke.CrashReport{Marks: []spoke.PartMark{mark}}})
}

// quarantine makes the host adopt a mark of the crashing part from a peer.
func (d *deployment) quarantine(p *fakePeer) {
	p.sendMark(d, 1, false)
	awaitTrue(d.t, "mark not adopted", func() bool { return d.hasLogged("prompt part quarantined") })
}

// assertQuarantined checks a refusal that asks the caller to come back after about the given time.
func assertQuarantined(t *testing.T, got answer, after time.Duration) {
	t.Helper()
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(t, strings.Contains(got.body, `"quarantined"`) && strings.Contains(got.body, `"not-run"`), got.body)
	hint, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Assert(t, hint > after/2 && hint <= after, "%s", hint)
}

// Guards against marks of other hosts that are not kept, that outlast their end, or that concern the last part
// of a prompt, and against decisions that neither log nor metrics show.
func TestReportedMarkRefusesCalls(t *testing.T) {
	d := start(t, 1)
	peer := startPeer(t, "host-2")
	d.quarantine(peer)
	got, err := d.send(partCall("blocked", false, 0))
	assert.NilError(t, err)
	assertQuarantined(t, got, 30*time.Second)
	last := partCall("last", true, 0)
	last.header.Set("Magnoliaspoke-Prefix-Hash", "aa:250,"+crashingPart+":50")
	got, err = d.send(last)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	page := d.metricsPage()
	assert.Assert(t, strings.Contains(page, `"part-marks": 1`) && strings.Contains(page, `"part-refusals": 1`), page)
	peer.sendMark(d, 2, true)
	awaitTrue(t, "end of the mark not logged", func() bool { return d.hasLogged("prompt part is no longer quarantined") })
	got, err = d.send(partCall("after", false, 0))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// Guards against calls that wait for an engine, or are sent, although their part was marked after they were
// queued.
func TestMarkRefusesWaitingCalls(t *testing.T) {
	d := start(t, 1)
	peer := startPeer(t, "host-2")
	peer.list(d)
	running := d.fillEngine()
	waiting := d.sendAll("waiting", func(id string) call { return partCall(id, false, 0) })
	awaitTrue(t, "calls do not wait", func() bool { return peer.waitingTokens() == engineSlots*promptTokens })
	d.quarantine(peer)
	markedAt := time.Now()
	for range engineSlots {
		assertQuarantined(t, <-waiting, 30*time.Second)
	}
	assert.Assert(t, time.Since(markedAt) < 300*time.Millisecond, "%s", time.Since(markedAt))
	d.assertSlotsFree(running)
	assert.Equal(t, len(d.engines[0].Arrivals()), 2*engineSlots)
}

// Guards against several calls at once that probe whether a marked part still crashes engines, and against slots
// of an engine that calls keep which are refused when their turn comes.
func TestOnlyOneWaitingCallProbes(t *testing.T) {
	d := start(t, 1)
	peer := startPeer(t, peerAfter(d.settings.Host))
	peer.list(d)
	awaitTrue(t, "peer not listed", func() bool { return d.hasLogged(`"peers":1`) })
	peer.remaining = time.Millisecond
	d.quarantine(peer)
	running := d.fillEngine()
	waiting := d.sendAll("waiting", func(id string) call { return partCall(id, false, 0) })
	awaitTrue(t, "calls do not wait", func() bool { return peer.waitingTokens() == engineSlots*promptTokens })
	served := 0
	for range engineSlots {
		got := <-waiting
		if got.status == http.StatusOK {
			served++
			continue
		}
		assertQuarantined(t, got, 10*time.Second)
	}
	assert.Equal(t, served, 1)
	d.assertSlotsFree(running)
	assert.Equal(t, len(d.engines[0].Arrivals()), 2*engineSlots+1)
}

// peerAfter returns the id of a peer that probes marked parts later than the host.
func peerAfter(host spoke.HostID) spoke.HostID {
	for i := 2; ; i++ {
		peer := spoke.HostID(fmt.Sprint("host-", i))
		registry := crash.NewPartRegistry()
		registry.SetHosts(host, []spoke.HostID{host, peer})
		now := time.Now()
		registry.Receive(now, peer, spoke.CrashReport{Marks: []spoke.PartMark{{Part: crash.HashPart(crashingPart), Revision: 1, Term: 30 * time.Second}}})
		if !registry.Admit(now, []spoke.PromptPart{{ID: crashingPart}, {ID: "last"}}).IsBlocked {
			return peer
		}
	}
}

// sendAll sends as many calls as an engine has slots at the same time; the channel receives their answers.
func (d *deployment) sendAll(name string, kind func(id string) call) <-chan answer {
	answers := make(chan answer, engineSlots)
	for i := range engineSlots {
		c := kind(fmt.Sprint(name, "-", i))
		go func() {
			got, err := d.send(c)
			assert.Check(d.t, err)
			answers <- got
		}()
	}
	return answers
}

// fillEngine occupies all slots of the only engine for more than a second.
func (d *deployment) fillEngine() <-chan answer {
	d.engines[0].SetEventInterval(400 * time.Millisecond)
	answers := d.sendAll("first", chatCall)
	awaitTrue(d.t, "engine not full", func() bool { return len(d.engines[0].Arrivals()) == engineSlots })
	return answers
}

// assertSlotsFree waits for the running calls and checks that as many others are served after them, all at the
// same time.
func (d *deployment) assertSlotsFree(running <-chan answer) {
	d.t.Helper()
	for range engineSlots {
		assert.Equal(d.t, (<-running).status, http.StatusOK)
	}
	d.engines[0].SetEventInterval(100 * time.Millisecond)
	begin := time.Now()
	second := d.sendAll("second", chatCall)
	for range engineSlots {
		assert.Equal(d.t, (<-second).status, http.StatusOK)
	}
	assert.Assert(d.t, time.Since(begin) < 800*time.Millisecond, "%s", time.Since(begin))
}

// Guards against a stream that is resumed although a part of its prompt has been marked meanwhile, and against
// one that looks complete or not run then.
func TestMarkKeepsStreamFromResuming(t *testing.T) {
	d := start(t, 2)
	peer := startPeer(t, "host-2")
	d.setBehaviour(fake.ResetMidway)
	for _, engine := range d.engines {
		engine.SetEventInterval(700 * time.Millisecond)
	}
	broken := make(chan error, 1)
	go func() {
		_, err := d.send(partCall("resumed", false, 0))
		broken <- err
	}()
	awaitTrue(t, "stream has not begun", func() bool { return d.hasLogged("stream began") })
	d.quarantine(peer)
	assert.ErrorContains(t, <-broken, "EOF")
	awaitTrue(t, "not logged", func() bool { return d.hasLogged("call is not sent again") && d.hasLogged("stream broken off") })
	assert.Equal(t, len(d.arrivals()["resumed"]), 1)
}

// Guards against crashes that hosts of other cells learn only when the next full report is due.
func TestCrashIsReportedToAllCellsAtOnce(t *testing.T) {
	d := start(t, 4)
	var others []*fakePeer
	for i := 2; i <= hostsOfTwoCells; i++ {
		peer := startPeer(t, spoke.HostID(fmt.Sprint("host-", i)))
		others = append(others, peer)
		peer.list(d)
	}
	awaitTrue(t, "peers not listed", func() bool { return d.hasLogged(fmt.Sprintf(`"peers":%d`, len(others))) && d.hasLogged(`"cells":2`) })
	d.setCrashing(0)
	_, _ = d.send(partCall("crash", false, 0))
	crashedAt := d.crashes()[0]
	for _, peer := range others {
		awaitTrue(t, "crash not reported to "+string(peer.id), func() bool { return !peer.crashReportedAt().IsZero() })
		assert.Assert(t, peer.crashReportedAt().Sub(crashedAt) < fullReportTime/2, "%s after %s", peer.id, peer.crashReportedAt().Sub(crashedAt))
	}
}
