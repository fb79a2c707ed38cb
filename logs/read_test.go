package logs_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/logs"
)

// Guards against lines of other hosts in the result, against lines that are lost because of one that
// cannot be parsed, and against lines of one host that are reordered after a jump of its clock.
func TestExplainSelectsAndOrdersLines(t *testing.T) {
	directory := t.TempDir()
	write := func(name string, lines ...string) {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(strings.Join(lines, "\n")), 0o600))
	}
	write("one.log",
		`{"ready":true,"addresses":{}}`,
		`{"time":"2026-01-01T00:00:01Z","host-id":"one","level":"warning","msg":"directory lost"}`,
		`{"time":"2026-01-01T00:00:02Z","host-id":"one","level":"info","msg":"placed","request-id":"r","upstream":"e"}`,
		`cut off`,
		`{"time":"2026-01-01T00:00:01.5Z","host-id":"one","level":"warning","msg":"call failed","request-id":"r","reason":"x"}`,
	)
	write("two.log",
		`{"time":"2026-01-01T00:00:01.7Z","host-id":"two","level":"warning","msg":"directory lost"}`,
		`{"time":"2026-01-01T00:00:03Z","host-id":"two","level":"info","msg":"placed","request-id":"q"}`,
	)
	entries, report, err := logs.ReadDirectory(directory)
	assert.NilError(t, err)
	assert.ErrorContains(t, report.Err(), "one.log:4: ")
	var text []string
	for _, entry := range logs.Explain(entries, "r") {
		text = append(text, entry.Text())
	}
	assert.DeepEqual(t, text, []string{
		"00:00:01.000   one      warning directory lost",
		"00:00:02.000 * one      info    placed  upstream=e",
		"00:00:01.500 * one      warning call failed  reason=x",
	})
	assert.Equal(t, len(logs.Explain(entries, "unknown")), 0)
	_, _, err = logs.ReadDirectory(t.TempDir())
	assert.ErrorContains(t, err, "no files")
}

// Guards against fencing tokens and revisions that are shown rounded, so that they cannot be compared.
func TestLongNumbersAreShownExactly(t *testing.T) {
	directory := t.TempDir()
	line := `{"time":"2026-01-01T00:00:01Z","host-id":"one","level":"info","msg":"orders lease changed","fence":1099511627789,"share":0.25}`
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "one.log"), []byte(line), 0o600))
	entries, report, err := logs.ReadDirectory(directory)
	assert.NilError(t, err)
	assert.NilError(t, report.Err())
	assert.Equal(t, entries[0].Text(), "00:00:01.000   one      info    orders lease changed  fence=1099511627789 share=0.25")
}
