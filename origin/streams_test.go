package origin_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/origin"
)

var begin = time.Unix(1_000_000, 0)

func stream(request spoke.RequestID, upstream spoke.UpstreamID) origin.Stream {
	return origin.Stream{Request: request, Service: "models", Upstream: upstream, Software: "v1"}
}

func assertSoftware(t *testing.T, streams *origin.Streams, now time.Time, request spoke.RequestID, want spoke.SoftwareVersion) {
	t.Helper()
	got, isKnown := streams.Find(now, request)
	assert.Assert(t, isKnown, "%s is not known", request)
	assert.Equal(t, got, want)
}

// Guards against a stream that is forgotten while it goes on from host to host, and against one that is kept for ever.
func TestOriginIsKeptFromItsLastUse(t *testing.T) {
	streams := origin.NewStreams()
	streams.Add(begin, stream("r", "i-1"), false)
	later := begin.Add(origin.Retention - time.Second)
	streams.Add(later, stream("r", "i-2"), false)
	assertSoftware(t, streams, begin.Add(origin.Retention+time.Second), "r", "v1")
	_, isKnown := streams.Find(later.Add(origin.Retention+time.Second), "r")
	assert.Assert(t, !isKnown)
}

// Guards against reports that keep the origin of a stream longer than the host that began it, and against the memory
// of old or malformed ones.
func TestReportedOriginHasTheAgeOfItsStream(t *testing.T) {
	streams := origin.NewStreams()
	streams.Receive(begin, spoke.StreamOrigin{Request: "r", Software: "v1", Age: origin.Retention / 2})
	streams.Receive(begin, spoke.StreamOrigin{Request: "old", Software: "v1", Age: origin.Retention + time.Second})
	streams.Receive(begin, spoke.StreamOrigin{Request: "odd", Software: "v1", Age: -time.Second})
	assertSoftware(t, streams, begin.Add(origin.Retention/2), "r", "v1")
	for _, request := range []spoke.RequestID{"old", "odd"} {
		_, isKnown := streams.Find(begin, request)
		assert.Assert(t, !isKnown, request)
	}
	_, isKnown := streams.Find(begin.Add(origin.Retention/2+time.Second), "r")
	assert.Assert(t, !isKnown)
}

// Guards against origins of which two hosts know different versions: neither is known to be the right one.
func TestContradictingOriginsAreDoubtful(t *testing.T) {
	streams := origin.NewStreams()
	streams.Add(begin, stream("r", "i-1"), true)
	streams.Receive(begin, spoke.StreamOrigin{Request: "r", Software: "v2"})
	assertSoftware(t, streams, begin, "r", "")
	reported := streams.Add(begin, stream("r", "i-1"), true)
	assert.Equal(t, reported.Software, spoke.SoftwareVersion(""))
}

// Guards against a stream that is recorded with the version before, since its engine had started again under the same
// id with another one and the directory still listed the earlier start.
func TestStreamsBegunAtAnUnlistedStartAreDoubtful(t *testing.T) {
	streams := origin.NewStreams()
	started := begin.Add(10 * time.Second)
	streams.Add(begin, stream("before", "i-1"), true)
	streams.Add(started.Add(time.Second), stream("after", "i-1"), true)
	streams.Add(started.Add(time.Second), stream("elsewhere", "i-2"), true)
	now := started.Add(3 * time.Second)
	doubtful := streams.Doubt(now, "i-1", started)
	assert.DeepEqual(t, doubtful, []spoke.StreamOrigin{{Request: "after", Age: 2 * time.Second}})
	assertSoftware(t, streams, now, "before", "v1")
	assertSoftware(t, streams, now, "after", "")
	assertSoftware(t, streams, now, "elsewhere", "v1")

	// Without the time of the start, none of its streams is certain.
	assert.Equal(t, len(streams.Doubt(now, "i-1", time.Time{})), 1)
	assertSoftware(t, streams, now, "before", "")
}

// Guards against streams that others are told of each time that a service gets another version, and against streams of
// other hosts or services that are told as this host's.
func TestStreamsAreToldOnce(t *testing.T) {
	streams := origin.NewStreams()
	streams.Add(begin, stream("r", "i-1"), false)
	streams.Add(begin, stream("told", "i-1"), true)
	streams.Add(begin, origin.Stream{Request: "other", Service: "desk", Upstream: "d", Software: "v1"}, false)
	streams.Receive(begin, spoke.StreamOrigin{Request: "received", Software: "v1"})
	untold := streams.Untold(begin.Add(time.Second), "models")
	assert.DeepEqual(t, untold, []spoke.StreamOrigin{{Request: "r", Software: "v1", Age: time.Second}})
	assert.Equal(t, len(streams.Untold(begin.Add(time.Second), "models")), 0)
}

// Guards against a stream that runs for longer than origins are kept and is forgotten, here or at the hosts that were
// told of it, and against one that is kept after its end.
func TestStreamThatRunsLongIsKept(t *testing.T) {
	streams, holder := origin.NewStreams(), origin.NewStreams()
	streams.Add(begin, stream("untold", "i-1"), false)
	holder.Receive(begin, streams.Add(begin, stream("r", "i-1"), true))
	sent := 0
	now := begin
	for ; now.Sub(begin) < 10*origin.Retention; now = now.Add(100 * time.Millisecond) {
		running, told := streams.Renew(now)
		for _, renewed := range told {
			holder.Receive(now, renewed)
		}
		sent += len(told)
		assert.Equal(t, len(running), 2*len(told))
		assertSoftware(t, holder, now, "r", "v1")
	}
	assert.Assert(t, sent <= 20, "%d", sent)
	streams.End(now, "r")
	streams.End(now, "untold")
	assertSoftware(t, streams, now.Add(origin.Retention), "r", "v1")
	assertSoftware(t, streams, now.Add(origin.Retention), "untold", "v1")
	_, isKnown := streams.Find(now.Add(origin.Retention+time.Second), "r")
	assert.Assert(t, !isKnown)
	running, _ := streams.Renew(now.Add(time.Hour))
	assert.Equal(t, len(running), 0)
}

// Guards against streams that began long before their engine started again with another version and are put in doubt, since
// they ran until that engine was killed or are kept while they run.
func TestStreamsThatRanUntilARestartAreNotDoubtful(t *testing.T) {
	streams := origin.NewStreams()
	streams.Add(begin, stream("ended", "i-1"), true)
	streams.Add(begin, stream("kept", "i-1"), true)
	killed := begin.Add(origin.Retention/2 + time.Second)
	running, _ := streams.Renew(killed)
	assert.Equal(t, len(running), 2)
	streams.End(killed, "ended")
	started := killed.Add(500 * time.Millisecond)
	streams.Add(started, stream("moved", "i-1"), true)
	now := started.Add(time.Second)
	doubtful := streams.Doubt(now, "i-1", started)
	assert.DeepEqual(t, doubtful, []spoke.StreamOrigin{{Request: "moved", Age: time.Second}})
	assertSoftware(t, streams, now, "ended", "v1")
	assertSoftware(t, streams, now, "kept", "v1")
}

// Guards against memory that grows with the number of streams.
func TestStreamsAreBounded(t *testing.T) {
	const bound = 1 << 16
	streams := origin.NewStreams()
	for i := range 2 * bound {
		streams.Add(begin, stream(spoke.RequestID(fmt.Sprint(i)), "i-1"), false)
	}
	_, isKnown := streams.Find(begin, "0")
	assert.Assert(t, !isKnown)
	assertSoftware(t, streams, begin, spoke.RequestID(fmt.Sprint(2*bound-1)), "v1")
	assert.Assert(t, len(streams.Untold(begin, "models")) <= bound+1)
}
