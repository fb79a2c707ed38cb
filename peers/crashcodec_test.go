package peers_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/peers"
)

// maxDatagramBytes is the size of the largest datagram.
const maxDatagramBytes = 64 << 10

func sampleCrashes() spoke.CrashReport {
	return spoke.CrashReport{
		Crashes: []spoke.UpstreamCrash{
			{Upstream: spoke.UpstreamStart{ID: "e", Started: time.UnixMilli(7).UTC()}, Age: 3 * time.Second, Parts: []spoke.PartHash{1 << 63, 5}, Repeated: []spoke.PartHash{6}},
			{Upstream: spoke.UpstreamStart{ID: "f"}, Parts: []spoke.PartHash{math.MaxUint64}, Repeated: []spoke.PartHash{}},
		},
		Refuted: []spoke.RefutedCrash{{Upstream: spoke.UpstreamStart{ID: "g", Started: time.UnixMilli(8).UTC()}, Age: time.Second}},
		Served:  []spoke.ServedPart{{Part: 1<<63 + 1, Age: 20 * time.Millisecond}},
		Marks: []spoke.PartMark{
			{Part: 1<<63 + 2, With: []spoke.PartHash{9, 1 << 62}, Revision: 4, Term: 30 * time.Second, Remaining: 29 * time.Second},
			{Part: 8, With: []spoke.PartHash{}, Revision: 5, Term: 30 * time.Second, IsEnded: true},
		},
	}
}

// Guards against values of another host that become others when they are decoded, such as a very long time
// that becomes a negative one, and against crashes of no upstream.
func TestDecodeExtremeCrashReport(t *testing.T) {
	raw := `{"host":"a","crashes":[{"parts":[1]},{"id":"e","age-ms":9223372036854775807,"parts":[2]},{"id":"f","age-ms":-5}],` +
		`"served-parts":[{"part":3,"age-ms":-9223372036854775808}],"part-marks":[{"part":4,"revision":18446744073709551615,"remaining-ms":9223372036854775807}]}`
	report, err := peers.Decode([]byte(raw), time.Now())
	assert.NilError(t, err)
	crashes := report.Crashes.Crashes
	assert.Equal(t, len(crashes), 2)
	assert.Equal(t, crashes[0].Upstream.ID, spoke.UpstreamID("e"))
	assert.Assert(t, crashes[0].Age > 250*365*24*time.Hour, "%s", crashes[0].Age)
	assert.Equal(t, crashes[1].Age, -5*time.Millisecond)
	assert.Assert(t, report.Crashes.Served[0].Age < 0)
	assert.Assert(t, report.Crashes.Marks[0].Remaining > 250*365*24*time.Hour)
	assert.Equal(t, report.Crashes.Marks[0].Revision, uint64(math.MaxUint64))
}

// Guards against malformed crashes that are taken for a report without crashes.
func TestDecodeRejectsMalformedCrashReport(t *testing.T) {
	for _, fields := range []string{
		`"crashes":{}`, `"crashes":[{"id":"e","parts":[-1]}]`, `"crashes":[{"id":"e","parts":["x"]}]`,
		`"served-parts":[{"part":18446744073709551616}]`, `"part-marks":[{"part":1,"revision":-2}]`, `"part-marks":[{"ended":3}]`,
	} {
		_, err := peers.Decode([]byte(`{"host":"a",`+fields+`}`), time.Now())
		assert.ErrorContains(t, err, "decode load report", fields)
	}
}

// Guards against a full datagram of crashes, served parts or marks that makes a host fail or keeps it busy.
func TestEnormousCrashReportIsBounded(t *testing.T) {
	for _, field := range []string{"crashes", "served-parts", "part-marks"} {
		var rows strings.Builder
		for i := 0; rows.Len() < maxDatagramBytes-100; i++ {
			fmt.Fprintf(&rows, `{"id":"e%d","part":%d,"revision":%d,"parts":[%d,%d]},`, i, i, i, i, i+1)
		}
		raw := fmt.Sprintf(`{"host":"a",%q:[%s{}]}`, field, rows.String())
		assert.Assert(t, len(raw) <= maxDatagramBytes)
		report, err := peers.Decode([]byte(raw), time.Now())
		assert.NilError(t, err)
		registry := crash.NewPartRegistry()
		registry.SetHosts("b", []spoke.HostID{"a", "b"})
		begin := time.Now()
		for range 20 {
			registry.Receive(begin, "a", report.Crashes)
			_ = registry.Admit(begin, []spoke.PromptPart{{ID: "p"}, {ID: "q"}})
		}
		assert.Assert(t, time.Since(begin) < 2*time.Second, "%s: %s", field, time.Since(begin))
		full, _ := registry.Report(begin, true)
		encoded, err := peers.Encode(spoke.HostReport{Host: "b", Crashes: full}, begin)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) <= maxDatagramBytes/2, "%s: %d bytes", field, len(encoded))
	}
}
