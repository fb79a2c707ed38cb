package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// wayHostCount is the number of hosts if each has its own ways to engines.
	wayHostCount = 5
	// wayCutPause is the time before each cut, waySoundTime that before the first one.
	wayCutPause  = time.Second
	waySoundTime = 4 * time.Second
	// wayCutTime is the time for which ways stay cut.
	wayCutTime = 9 * time.Second
	// wayGrace is the time after a cut from which first tries have to be served. Those that end before the cut does count.
	wayGrace = 4 * time.Second
	// wayLoadInterval is the time between two calls at a host.
	wayLoadInterval = 50 * time.Millisecond
)

// wayCut is a time in which hosts reach no engine.
type wayCut struct {
	form        wayForm
	hosts       []*host
	from, until time.Time
}

// cutWays cuts the ways of one host, of the hosts of a data centre and of all but one, each in one of the three forms, until
// ctx ends. The host to which process faults apply is never the only one that keeps its ways.
func (inj *injector) cutWays(ctx context.Context, random *rand.Rand, faulty *host) {
	forms := []wayForm{wayHang, wayReset, wayRefuse}
	random.Shuffle(len(forms), func(i, j int) { forms[i], forms[j] = forms[j], forms[i] })
	groups := random.Perm(len(forms))
	sleep(ctx, waySoundTime-wayCutPause)
	for count := 0; ; count++ {
		sleep(ctx, wayCutPause)
		if ctx.Err() != nil {
			return
		}
		cut := wayCut{form: forms[count%len(forms)], hosts: inj.testbed.wayGroup(groups[count%len(groups)], random, faulty)}
		inj.setWays(&cut, cut.form)
		cut.from = time.Now()
		sleep(ctx, wayCutTime)
		cut.until = time.Now()
		inj.setWays(&cut, waySound)
		inj.testbed.wayCuts = append(inj.testbed.wayCuts, cut)
	}
}

func (inj *injector) setWays(cut *wayCut, form wayForm) {
	for _, h := range cut.hosts {
		inj.logf("ways of %s to engines: %s", h.name, form)
		h.ways.set(form)
	}
}

// wayGroup returns one host, the hosts of a data centre, or all but one.
func (b *testbed) wayGroup(kind int, random *rand.Rand, faulty *host) []*host {
	sound := slices.DeleteFunc(slices.Clone(b.hosts), func(h *host) bool { return h == faulty })
	one := sound[random.IntN(len(sound))]
	switch kind {
	case 0:
		return []*host{one}
	case 1:
		// The third data centre has one host only.
		centre := dataCentres[random.IntN(2)]
		return slices.DeleteFunc(slices.Clone(b.hosts), func(h *host) bool { return h.dataCentre != centre })
	default:
		return slices.DeleteFunc(slices.Clone(b.hosts), func(h *host) bool { return h == one })
	}
}

// runSteady makes calls at each host at a steady rate until ctx ends, whatever becomes of those before.
func (c *callers) runSteady(ctx context.Context) {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(wayLoadInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for count := 0; ctx.Err() == nil; count++ {
		for number, h := range c.testbed.hosts {
			route := []string{chat, quote, book, look}[(count+number)%4]
			calls.Go(func() { c.call(client, h, route, fmt.Sprintf("s-%d-%d", number, count)) })
		}
		<-ticker.C
	}
}
