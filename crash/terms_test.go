package crash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

const (
	firstTerm   = 30 * time.Second
	longestTerm = 10 * time.Minute
	deadly      = spoke.Fingerprint("deadly")
)

// markHosts are hosts that exchange their marks once a second.
type markHosts struct {
	now        time.Time
	registries []*crash.Registry
	attempts   int
}

func newMarkHosts(count int) *markHosts {
	h := &markHosts{now: time.Unix(1_700_000_000, 0)}
	var ids []spoke.HostID
	for i := range count {
		ids = append(ids, spoke.HostID(fmt.Sprint("host-", i)))
	}
	for _, id := range ids {
		registry := crash.New(crash.WithExpiry(firstTerm), crash.WithTerms(firstTerm, longestTerm))
		registry.SetHosts(id, ids)
		h.registries = append(h.registries, registry)
	}
	return h
}

func (h *markHosts) exchange() {
	for i, from := range h.registries {
		for j, to := range h.registries {
			if i != j {
				to.Merge(h.now, from.Marks(h.now, 10))
			}
		}
	}
}

// send makes an attempt of a new request with the deadly content at a host and reports whether it was sent. The attempt
// ends at once, with a crash of its upstream or with an answer.
func (h *markHosts) send(host int, isServed bool) bool {
	h.attempts++
	id := fmt.Sprint("request-", h.attempts)
	registry := h.registries[host]
	if !registry.Admit(h.now, spoke.RequestID(id), deadly).Until.IsZero() {
		return false
	}
	registry.Begin(h.now, spoke.AttemptID(id), spoke.UpstreamID(fmt.Sprint("engine-", h.attempts%3)), deadly)
	h.now = h.now.Add(time.Millisecond)
	if isServed {
		registry.EndServed(h.now, spoke.AttemptID(id))
		return true
	}
	registry.End(h.now, spoke.AttemptID(id), true)
	return true
}

// Guards against a request that crashes engines again whenever its mark expires, on each host: it comes every 100 ms at one
// of nine hosts, for a quarter of an hour. Three retries may reach engines later than 3 s after its third crash.
func TestDeadlyRequestIsProbedRarely(t *testing.T) {
	h := newMarkHosts(9)
	var third time.Time
	crashes, late := 0, 0
	for step := range 9000 {
		if step%10 == 0 {
			h.exchange()
		}
		if h.send(step%9, false) {
			crashes++
			if crashes == 3 {
				third = h.now
			}
			if crashes > 3 && h.now.Sub(third) > 3*time.Second {
				late++
			}
		}
		h.now = h.now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, late <= 3, "%d of %d requests that crashed engines were late", late, crashes)
}

// Guards against a request that stays refused although it merely ran beside crashes: a probe that is served ends the mark,
// also while other hosts still report it.
func TestServedProbeEndsMark(t *testing.T) {
	h := newMarkHosts(3)
	for range 2 {
		assert.Assert(t, h.send(0, false))
	}
	h.exchange()
	for host := range h.registries {
		assert.Assert(t, !h.send(host, true), "host %d", host)
	}
	h.now = h.now.Add(firstTerm)
	probes := 0
	for host := range h.registries {
		if h.send(host, true) {
			probes++
		}
		h.exchange()
	}
	assert.Equal(t, probes, 1)
	h.now = h.now.Add(20 * time.Second)
	for host := range h.registries {
		assert.Assert(t, h.send(host, true), "host %d", host)
	}
}

// Guards against a probe whose further attempt is refused as if it were another request, and against one that goes on after
// a crash.
func TestProbeMayBeSentAgainUntilItCrashes(t *testing.T) {
	h := newMarkHosts(1)
	for range 2 {
		assert.Assert(t, h.send(0, false))
	}
	h.now = h.now.Add(firstTerm)
	registry := h.registries[0]
	for range 2 {
		assert.Assert(t, registry.Admit(h.now, "probe", deadly).Until.IsZero())
	}
	assert.Assert(t, !registry.Admit(h.now, "other", deadly).Until.IsZero())
	registry.Begin(h.now, "probe/1", "engine", deadly)
	registry.End(h.now.Add(time.Millisecond), "probe/1", true)
	until := registry.Admit(h.now, "probe", deadly).Until
	assert.Assert(t, until.Sub(h.now) > firstTerm, "%s", until.Sub(h.now))
}

// Guards against a request that crashes an engine of each host before any of them marks it, since each knows of one crash
// only, and against one crash that counts twice, since two hosts have seen it.
func TestCrashesAtDifferentHostsCountTogether(t *testing.T) {
	for name, c := range map[string]struct {
		second spoke.UpstreamID
		isSent bool
	}{"two engines": {"engine-b", false}, "one engine": {"engine-a", true}} {
		h := newMarkHosts(3)
		for host, upstream := range []spoke.UpstreamID{"engine-a", c.second} {
			registry, attempt := h.registries[host], spoke.AttemptID(fmt.Sprint("attempt-", host))
			registry.Begin(h.now, attempt, upstream, deadly)
			registry.End(h.now.Add(time.Millisecond), attempt, true)
		}
		h.now = h.now.Add(time.Second)
		h.exchange()
		h.exchange()
		for host, registry := range h.registries {
			until := registry.Admit(h.now, spoke.RequestID(fmt.Sprint("request-", host)), deadly).Until
			assert.Check(t, until.IsZero() == c.isSent, "%s, host %d: refused until %s", name, host, until)
		}
	}
}
