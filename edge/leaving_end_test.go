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
	received := make([]chan result, len(calls))
	for i, c := range calls {
		received[i] = make(chan result, 1)
		go func() {
			got, err := d.send(c)
			for deadline := time.Now().Add(time.Second); got.status == http.StatusServiceUnavailable && time.Now().Before(deadline); {
				got, err = d.send(c)
			}
			received[i] <- result{got, err}
		}()
	}
	for range calls {
		leaving.awaitSent()
	}
	assert.NilError(t, leaving.listener.Close())
	leaving.leave()
	time.Sleep(servedNotice)
	end(leaving)
	var all []result
	for i := range calls {
		all = append(all, <-received[i])
	}
	return all
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
	received := make(chan result, len(hosts))
	for _, host := range hosts {
		go func() {
			awaitTrue(t, "no call placed", func() bool {
				got, err := host.send(quoteCall("call-" + string(host.settings.Host)))
				isPlaced := got.status != http.StatusServiceUnavailable && got.status != 0
				if isPlaced {
					received <- result{got, err}
				}
				return isPlaced
			})
		}()
		leaving.awaitSent()
	}
	assert.NilError(t, leaving.listener.Close())
	leaving.leave()
	time.Sleep(servedNotice)
	leaving.goOn()
	for range hosts {
		leaving.awaitSent()
	}
	leaving.kill()
	hosts[0].store.Remove("servers/" + killedID)
	for range hosts {
		assert.ErrorIs(t, (<-received).err, io.ErrUnexpectedEOF)
	}
}
