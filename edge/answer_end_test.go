package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

// endSilence is the time from the end of an answer in which its engine reports nothing: 1.2 s from the first request for
// its report, which is made 10 ms after the end.
const endSilence = 1210 * time.Millisecond

// Guards against whole answers with neither a length nor chunks that are resumed, made again or refused because their
// engine is silent or resets connections for a moment behind their end.
func TestTroubleBehindWholeAnswersDoesNotBreakThem(t *testing.T) {
	for name, trouble := range map[string]func(*fake.Engine){
		"silent": func(e *fake.Engine) { e.SilenceReports(endSilence) },
		"resets": func(e *fake.Engine) { e.ResetReports(5) },
	} {
		for _, c := range []call{chatCall("chat"), quoteCall("quote"), bookCall("book")} {
			t.Run(name+" "+c.id, func(t *testing.T) {
				d := start(t, 1)
				engine := d.engines[0]
				engine.SetUnframedAnswer(fake.UnframedAnswer{
					Head: []string{"HTTP/1.1 200 OK"}, Body: wholeStream, OnSent: func() { trouble(engine) },
				})
				got, err := d.send(c)
				assert.NilError(t, err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, wholeStream)
				assert.Equal(t, d.runs(), 1)
			})
		}
	}
}

// Guards against a second run of an answer that is whole, because its engine is silent while the end is checked and another
// one is free.
func TestCheckOfEndAsksForNoOtherUpstream(t *testing.T) {
	d := start(t, 2)
	for _, engine := range d.engines {
		engine.SetUnframedAnswer(fake.UnframedAnswer{
			Head: []string{"HTTP/1.1 200 OK"}, Body: "whole", OnSent: func() { engine.SilenceReports(endSilence) },
		})
	}
	got, err := d.send(lookCall("look"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, d.runs(), 1)
}

// Guards against whole answers that are broken off, and count as crashes, because the directory still names the start
// before the one that gave them.
func TestOutdatedStartBreaksNoWholeAnswer(t *testing.T) {
	d := start(t, 1)
	d.engines[0].Restart(1)
	restarted := time.Now()
	d.engines[0].SetUnframedAnswer(fake.UnframedAnswer{Head: []string{"HTTP/1.1 200 OK"}, Body: wholeStream})
	awaitTrue(t, "the engine has just started", func() bool { return time.Since(restarted) > 100*time.Millisecond })
	for _, c := range []call{chatCall("chat"), quoteCall("quote"), lookCall("look"), bookCall("book")} {
		got, err := d.send(c)
		assert.NilError(t, err, c.id)
		assert.Equal(t, got.status, http.StatusOK, c.id)
		assert.Equal(t, got.body, wholeStream)
	}
	assert.Equal(t, d.runs(), 4)
	assert.Assert(t, !d.hasLogged("upstream crashed during an attempt"))
}

// Guards against answers that stay unconfirmed and look whole, and against checks that last longer than their bound.
func TestUnconfirmedAnswersDoNotLookWhole(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetUnframedAnswer(fake.UnframedAnswer{Head: []string{"HTTP/1.1 200 OK"}, Body: wholeStream})
	d.engines[0].SilenceReports(time.Minute)
	begin := time.Now()
	got, err := d.send(bookCall("book"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	assert.Assert(t, !d.hasLogged("upstream crashed during an attempt"))
	_, err = d.send(quoteCall("quote"))
	assert.Assert(t, err != nil)
}

// Guards against calls to upstreams for answers whose end is known: with a length, with chunks, or with as many events as
// the caller allows tokens.
func TestEndsThatAreKnownCostNoCall(t *testing.T) {
	for name, answer := range map[string]fake.UnframedAnswer{
		"length": {Head: []string{"HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d", len(wholeStream))}, Body: wholeStream},
		"chunks": {Head: []string{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked"}, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wholeStream), wholeStream)},
		"limit":  {Head: []string{"HTTP/1.1 200 OK"}, Body: fake.WholeStream(0, 20)},
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, 1)
			before := d.engines[0].Reports()
			d.engines[0].SetUnframedAnswer(answer)
			got, err := d.send(quoteCall("quote"))
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, d.engines[0].Reports()-before, 0)
		})
	}
}
