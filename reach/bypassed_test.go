package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/reach"
)

func countBypassed(ways *reach.Ways, ids []spoke.UpstreamID) int {
	count := 0
	for _, id := range ids {
		if ways.IsBypassed(id) {
			count++
		}
	}
	return count
}

// Guards against engines that have failed being taken for engines that only this host does not reach.
func TestOnlyUpstreamsThatOthersReachAreBypassed(t *testing.T) {
	s := newSimulation(6)
	s.cut[s.ids[0]], s.cut[s.ids[1]], s.dead[s.ids[2]] = true, true, true
	s.run(10 * time.Second)
	assert.Equal(t, countBypassed(s.ways, s.ids), 0)
	assert.Assert(t, !s.ways.HasBypassed())

	for _, id := range s.ids[:3] {
		s.ways.Relayed(id, !s.dead[id])
	}
	assert.Equal(t, countBypassed(s.ways, s.ids), 2)
	assert.Assert(t, s.ways.HasBypassed())
	assert.Equal(t, countBypassed(s.ways, s.ids[2:]), 0)

	s.dead[s.ids[0]] = true
	s.ways.Relayed(s.ids[0], false)
	assert.Equal(t, countBypassed(s.ways, s.ids), 1)

	s.cut[s.ids[1]] = false
	s.run(10 * time.Second)
	assert.Equal(t, countBypassed(s.ways, s.ids), 0)
	assert.Assert(t, !s.ways.HasBypassed())
}

// Guards against a moment in which connections are slow being taken for lost ways, and against ways that stay lost.
func TestBypassHasToLast(t *testing.T) {
	now := time.Unix(1000, 0)
	var bypass reach.Bypass
	assert.Assert(t, !bypass.Observe(now, true))
	assert.Assert(t, !bypass.Observe(now.Add(time.Second), true))
	assert.Assert(t, !bypass.Observe(now.Add(2*time.Second), false))
	assert.Assert(t, !bypass.Observe(now.Add(3*time.Second), true))
	assert.Assert(t, bypass.Observe(now.Add(5*time.Second), true))
	assert.Assert(t, !bypass.Observe(now.Add(6*time.Second), false))
}
