package origin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/origin"
)

// knowledgeOf replays the start of a host that reads a directory with hosts.
func knowledgeOf(hosts ...spoke.HostID) *origin.Knowledge {
	var listed []spoke.ListedPeer
	for _, id := range hosts {
		listed = append(listed, spoke.ListedPeer{ID: id})
	}
	var k origin.Knowledge
	k.Read(begin, listed, "self", nil)
	return &k
}

// recordedBefore replays the start of a host beside all others, of which one has recorded the versions.
func recordedBefore() *origin.Knowledge {
	var k origin.Knowledge
	k.Read(begin, []spoke.ListedPeer{{ID: "a"}, {ID: "self"}}, "self", []spoke.ListedSoftware{{Service: "models", Software: "v1"}})
	return &k
}

// Guards against a host that takes streams up before it can know of versions that have gone, and against one that
// refuses them for longer than that.
func TestStartedHostKnowsWhenItHasEarlierVersions(t *testing.T) {
	const report = 800 * time.Millisecond
	steps := []struct {
		name  string
		known *origin.Knowledge
		// reported is what a full report says after report, none if negative.
		reported time.Duration
		want     time.Duration
		// vouched is what the host itself reports then.
		vouched time.Duration
	}{
		{"first host", knowledgeOf(), -1, 0, 0},
		{"joining", knowledgeOf("a"), -1, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"joining, with a report", knowledgeOf("a"), 0, report, 0},
		{"restarted", knowledgeOf("a", "self"), 0, report, 0},
		{"all restarted", knowledgeOf("a", "self"), report, origin.Retention, 0},
		{"all restarted, versions recorded", recordedBefore(), -1, 0, 0},
		{"restarted, with one that started before", knowledgeOf("a", "self"), time.Minute, time.Minute + report, 0},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			if s.reported >= 0 {
				assert.Equal(t, s.known.IsComplete(begin.Add(report)), s.want < report)
				s.known.Receive(begin.Add(report), s.reported)
			}
			assert.Assert(t, s.want == 0 || !s.known.IsComplete(begin.Add(s.want-time.Millisecond)))
			assert.Assert(t, s.known.IsComplete(begin.Add(s.want)))
			assert.Equal(t, s.known.Reported(begin.Add(s.want)), s.vouched)
		})
	}
}

// Guards against a report that was sent before the directory was read, and against hosts that started together and take
// each other's reports for those of hosts that served before.
func TestHostsStartedTogetherKnowNoEarlierVersions(t *testing.T) {
	hosts := []*origin.Knowledge{knowledgeOf("a", "self"), knowledgeOf("a", "self")}
	hosts[0].Receive(begin.Add(100*time.Millisecond), 0)
	for now := begin; now.Sub(begin) < origin.Retention; now = now.Add(time.Second) {
		for i, host := range hosts {
			assert.Assert(t, !host.IsComplete(now), now.Sub(begin).String())
			hosts[1-i].Receive(now, host.Reported(now))
		}
	}
}

// Guards against hosts that ended without notice and take the word of one that joins them, which knows no more than they do.
func TestHostThatJoinsVouchesForNoEarlierVersions(t *testing.T) {
	restarted, joining := knowledgeOf("a", "self"), knowledgeOf("a")
	for now := begin; now.Sub(begin) < origin.Retention; now = now.Add(time.Second) {
		assert.Assert(t, !restarted.IsComplete(now), now.Sub(begin).String())
		restarted.Receive(now, joining.Reported(now))
		joining.Receive(now, restarted.Reported(now))
	}
}

// Guards against knowledge before the directory was read, and against later snapshots that count as starts.
func TestKnowledgeBeginsWithTheFirstSnapshot(t *testing.T) {
	var k origin.Knowledge
	k.Receive(begin, 0)
	assert.Assert(t, !k.IsComplete(begin))
	assert.Equal(t, k.Reported(begin), time.Millisecond)
	k.Read(begin, nil, "self", nil)
	k.Read(begin.Add(time.Second), []spoke.ListedPeer{{ID: "self"}}, "self", nil)
	assert.Assert(t, k.IsComplete(begin.Add(time.Second)))
}
