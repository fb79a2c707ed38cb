package peers_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/peers"
)

// Guards against hosts of the version before falls that take a fall for a crash, or read no marks that name falls, and
// against marks of that version that are not read.
func TestVersionBeforeFallsReadsMarks(t *testing.T) {
	now := time.Now()
	fall := [spoke.MarkFalls]spoke.QuarantineFall{{Upstream: "i-1", At: now.Add(-time.Second)}}
	raw, err := peers.Encode(spoke.HostReport{Host: "host-1", Marks: []spoke.QuarantineMark{
		{Fingerprint: "hit", Falls: fall, Expires: now.Add(time.Second)},
		{Fingerprint: "marked", Deaths: 2, Falls: fall, Served: now.Add(-time.Minute), Expires: now.Add(time.Second)},
	}}, now)
	assert.NilError(t, err)
	type earlierMark struct {
		Fingerprint string   `json:"fingerprint"`
		Deaths      int      `json:"deaths"`
		ForMs       int64    `json:"for-ms"`
		Upstreams   []string `json:"upstreams,omitempty"`
	}
	var earlier struct {
		Host  string        `json:"host"`
		Marks []earlierMark `json:"marks"`
	}
	assert.NilError(t, json.Unmarshal(raw, &earlier))
	assert.DeepEqual(t, earlier.Marks, []earlierMark{{"hit", 0, 1000, nil}, {"marked", 2, 1000, nil}})

	earlier.Marks = []earlierMark{{"crashed", 1, 1000, []string{"i-1"}}}
	raw, err = json.Marshal(earlier)
	assert.NilError(t, err)
	decoded, err := peers.Decode(raw, now)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Marks, []spoke.QuarantineMark{{
		Fingerprint: "crashed", Deaths: 1, Upstreams: [spoke.MarkUpstreams]spoke.UpstreamID{"i-1"}, Expires: now.Add(time.Second),
	}})
}
