package logs_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/logs"
)

// line writes a log line of a request.
func line(request, message, fields string) string {
	return fmt.Sprintf(`{"time":"2026-03-01T12:00:00Z","host-id":"one","level":"info","msg":%q,"request-id":%q,%s}`, message, request, fields)
}

// stream writes the lines of one stream.
func stream(request, placed, first, gap string) string {
	return strings.Join([]string{
		line(request, "placed", `"route":"chat",`+placed),
		line(request, "stream began", fmt.Sprintf(`"target":"400ms","first-event":%q`, first)),
		line(request, "answered", fmt.Sprintf(`"gap-target":"300ms","widest-gap":%q,"status":200`, gap)),
	}, "\n")
}

// Guards against streams that are late for one reason and counted for another, or not at all.
func TestLateStreamsAreTraced(t *testing.T) {
	read := `"prompt":900,"cached":0,"fetched":0,"waited":"1ms","predicted":"50ms"`
	for name, c := range map[string]struct {
		lines string
		cause logs.LateCause
	}{
		"on time":              {stream("r", read, "70ms", "250ms"), ""},
		"pause":                {stream("r", read, "70ms", "350ms"), logs.LateByPause},
		"slow reading":         {stream("r", read, "700ms", "20ms"), logs.LateByReading},
		"copies":               {stream("r", `"prompt":900,"cached":0,"fetched":600,"waited":"1ms","predicted":"50ms"`, "700ms", "20ms"), logs.LateByCopies},
		"cached part":          {stream("r", `"prompt":900,"cached":600,"fetched":0,"waited":"1ms","predicted":"50ms"`, "700ms", "20ms"), logs.LateByCache},
		"waiting":              {stream("r", `"prompt":900,"cached":0,"fetched":0,"waited":"600ms","predicted":"50ms"`, "700ms", "20ms"), logs.LateByWaiting},
		"busy engines":         {stream("r", `"prompt":900,"cached":0,"fetched":0,"waited":"1ms","predicted":"600ms"`, "700ms", "20ms"), logs.LateByLoad},
		"sent again":           {line("r", "placed", read) + "\n" + stream("r", read, "700ms", "20ms"), logs.LateByRepeat},
		"figures are no times": {stream("r", `"prompt":"x","cached":[],"waited":3,"predicted":"soon"`, "70ms", "?"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			routes := late(t, c.lines)
			assert.Equal(t, len(routes), 1)
			assert.Equal(t, routes[0].Streams, 1)
			if c.cause == "" {
				assert.Equal(t, len(routes[0].Causes), 0)
				return
			}
			assert.DeepEqual(t, routes[0].Causes, map[logs.LateCause]int{c.cause: 1})
		})
	}
}

// Guards against calls without a first event that count as streams, and figures of the wrong order.
func TestLateRoutesAreSummedUp(t *testing.T) {
	var all []string
	for i, first := range []string{"60ms", "70ms", "80ms", "900ms", "800ms"} {
		all = append(all, stream(fmt.Sprint("r", i), `"prompt":900,"cached":0,"fetched":0,"waited":"10ms","predicted":"50ms"`, first, "20ms"))
	}
	all = append(all, line("refused", "call refused", `"status":503`), line("other", "placed", `"route":"book"`))
	routes := late(t, strings.Join(all, "\n"))
	assert.Equal(t, len(routes), 1)
	assert.Equal(t, routes[0].Streams, 5)
	assert.Equal(t, routes[0].Lateness, [3]time.Duration{0, 20 * time.Millisecond, 840 * time.Millisecond})
	assert.DeepEqual(t, routes[0].SortedCauses(), []logs.LateCause{logs.LateByReading})
}

func late(t *testing.T, lines string) []logs.LateRoute {
	t.Helper()
	directory := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "one.log"), []byte(lines), 0o600))
	entries, report, err := logs.ReadDirectory(directory)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
	return logs.LateStreams(entries)
}
