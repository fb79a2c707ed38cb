package edge_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	lastEvents = "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	// servedNotice exceeds the time for which an engine that leaves goes on serving.
	servedNotice = 2100 * time.Millisecond
)

// callLeaving makes calls at an engine process that sends a part of its answers, announces that it leaves and has served on
// for as long as it must. end is called then.
func callLeaving(t *testing.T, calls []call, body string, end func(*killedEngine), environment ...string) []result {
	t.Helper()
	d := start(t, 0)
	d.awaitApplied()
	leaving := d.startEngineProcess(body, environment...)
	var received []<-chan result
	for _, c := range calls {
		received = append(received, d.sendUntilPlaced(c))
		leaving.awaitSent()
	}
	leaving.serveNotice()
	end(leaving)
	var all []result
	for _, got := range received {
		all = append(all, <-got)
	}
	return all
}

// serveNotice announces that the engine leaves and waits until it may exit. Its listener is its own from then on.
func (k *killedEngine) serveNotice() {
	k.d.t.Helper()
	assert.NilError(k.d.t, k.listener.Close())
	k.leave()
	time.Sleep(servedNotice)
}

// exits makes an engine end its answers whole and exit right behind them; its entry goes with it.
func exits(k *killedEngine) {
	k.goOn()
	_ = k.process.Wait()
	k.d.store.Remove("servers/" + killedID)
}

// Guards against whole answers with neither a length nor chunks that are broken off because their engine, which has
// announced that it leaves, exits right behind the last of them.
func TestLastAnswerOfLeavingEngineIsWhole(t *testing.T) {
	for _, c := range []call{quoteCall("quote"), chatCall("chat")} {
		t.Run(c.id, func(t *testing.T) {
			got := callLeaving(t, []call{c}, twoEvents, exits, engineRest+"="+lastEvents)[0]
			assert.NilError(t, got.err)
			assert.Equal(t, got.answer.body, wholeStream)
		})
	}
	t.Run("book", func(t *testing.T) {
		got := callLeaving(t, []call{bookCall("book")}, cutBody, exits, engineRest+"=le answer")[0]
		assert.NilError(t, got.err)
		assert.Equal(t, got.answer.status, http.StatusOK)
		assert.Equal(t, got.answer.body, "whole answer")
	})
}

// Guards against answers that look whole although their engine was killed after it had announced that it leaves and had
// served on for as long as it must: between two events, right behind one, and with several answers under way. In the last
// case the entry is gone, too, as that of an engine that exits.
func TestAnswersOfEngineKilledLateInItsNoticeDoNotLookWhole(t *testing.T) {
	oneEvent := engineRest + "=id: 3\ndata: piece 3\n\n"
	killRemoved := func(k *killedEngine) {
		k.kill()
		k.d.store.Remove("servers/" + killedID)
	}
	for name, c := range map[string]struct {
		calls       []call
		end         func(*killedEngine)
		environment []string
	}{
		"between events":             {[]call{quoteCall("quote")}, (*killedEngine).kill, nil},
		"between events, entry gone": {[]call{quoteCall("quote")}, killRemoved, nil},
		"behind an event": {[]call{quoteCall("quote")}, func(k *killedEngine) {
			k.goOn()
			k.awaitSent()
			k.kill()
		}, []string{oneEvent, engineStays + "=1"}},
		"two answers behind an event, entry gone": {[]call{quoteCall("quote"), quoteCall("other")}, func(k *killedEngine) {
			k.goOn()
			k.awaitSent()
			k.awaitSent()
			killRemoved(k)
		}, []string{oneEvent, engineStays + "=1"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, got := range callLeaving(t, c.calls, twoEvents, c.end, c.environment...) {
				assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// Guards against answers that look whole at two hosts, each with one call at an engine that is killed late in its notice
// right behind an event, although the entry is gone as that of an engine that exits.
func TestAnswersOfKilledEngineAtTwoHostsDoNotLookWhole(t *testing.T) {
	hosts := startHostsWith(t, 2, 0)
	hosts[0].awaitApplied()
	leaving := hosts[0].startEngineProcess(twoEvents, engineRest+"=id: 3\ndata: piece 3\n\n", engineStays+"=1")
	var received []<-chan result
	for _, host := range hosts {
		received = append(received, host.sendUntilPlaced(quoteCall("call-"+string(host.settings.Host))))
		leaving.awaitSent()
	}
	leaving.serveNotice()
	leaving.goOn()
	for range hosts {
		leaving.awaitSent()
	}
	leaving.kill()
	hosts[0].store.Remove("servers/" + killedID)
	for _, got := range received {
		assert.ErrorIs(t, (<-got).err, io.ErrUnexpectedEOF)
	}
}
