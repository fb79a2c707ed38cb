package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

const (
	fieldTime    = "time"
	fieldHost    = "host-id"
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldRequest = "request-id"

	// maxLineBytes bounds the lines that are read.
	maxLineBytes = 1 << 20
	// contextWindow is the time before a request for which lines of its host that concern no request are
	// shown.
	contextWindow = 10 * time.Second
)

type (
	// Entry is one line of a log.
	Entry struct {
		Time    time.Time
		Host    spoke.HostID
		Level   string
		Message string
		// Request is empty for lines that do not concern a request.
		Request spoke.RequestID
		// Fields holds all other fields, sorted by name.
		Fields []Field
		file   string
	}

	// Field is a field of a line, with its value as text.
	Field struct{ Name, Value string }
)

// ReadDirectory reads all files of a directory and returns their entries in the order of time. Lines
// that cannot be parsed are skipped and reported as findings with their file and line.
func ReadDirectory(directory string) ([]Entry, *check.Report, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil {
		return nil, nil, eris.Wrapf(err, "logs in %q", directory)
	}
	if len(paths) == 0 {
		return nil, nil, eris.Errorf("no files in %q", directory)
	}
	var entries []Entry
	report := &check.Report{}
	for _, path := range paths {
		read, err := readFile(path, report)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, read...)
	}
	sortEntries(entries)
	return entries, report, nil
}

// Explain returns the lines of a request, together with the lines of its host that concern no request
// and were written shortly before or during it. They keep the order of entries: by time, and within one
// file by line.
func Explain(entries []Entry, request spoke.RequestID) []Entry {
	var own []Entry
	for _, entry := range entries {
		if entry.Request == request {
			own = append(own, entry)
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := own[0].Time.Add(-contextWindow), own[len(own)-1].Time
	var explained []Entry
	for _, entry := range entries {
		isContext := entry.Request == "" && entry.Host == own[0].Host && !entry.Time.Before(first) && !entry.Time.After(last)
		if entry.Request == request || isContext {
			explained = append(explained, entry)
		}
	}
	return explained
}

// Text formats the line for people to read.
func (e Entry) Text() string {
	mark := " "
	if e.Request != "" {
		mark = "*"
	}
	return strings.TrimRight(fmt.Sprintf("%s %s %-8s %-7s %s  %s", e.Time.UTC().Format("15:04:05.000"), mark, e.Host, e.Level, e.Message, e.fieldText()), " ")
}

func readFile(path string, report *check.Report) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrapf(err, "log %q", path)
	}
	defer file.Close()
	var entries []Entry
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 || bytes.HasPrefix(line, []byte(`{"ready":`)) {
			continue
		}
		entry, err := decodeEntry(line)
		if err != nil {
			report.Addf(fmt.Sprintf("%s:%d", path, number), "%s", err)
			continue
		}
		entry.file = path
		entries = append(entries, entry)
	}
	if err := scanner.Err(); err != nil {
		report.Addf(path, "%s", err)
	}
	return entries, nil
}

func decodeEntry(line []byte) (Entry, error) {
	raw, err := decodeFields(line)
	if err != nil {
		return Entry{}, eris.Wrap(err, "not a log line")
	}
	text := func(name string) string {
		value, _ := raw[name].(string)
		delete(raw, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, text(fieldTime))
	if err != nil {
		return Entry{}, eris.Wrap(err, "no valid time")
	}
	entry := Entry{
		Time: at, Host: spoke.HostID(text(fieldHost)), Level: text(fieldLevel), Message: text(fieldMessage),
		Request: spoke.RequestID(text(fieldRequest)),
	}
	for name, value := range raw {
		entry.Fields = append(entry.Fields, Field{name, fmt.Sprint(value)})
	}
	slices.SortFunc(entry.Fields, func(a, b Field) int { return cmp.Compare(a.Name, b.Name) })
	return entry, nil
}

// decodeFields decodes the fields of a line. Numbers stay as they were written, since revisions and fencing tokens have
// more digits than other formats of numbers show.
func decodeFields(line []byte) (map[string]any, error) {
	if !json.Valid(line) {
		return nil, eris.New("invalid JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber()
	var raw map[string]any
	err := decoder.Decode(&raw)
	return raw, err
}

// sortEntries merges the files by time. The order within a file is kept, since the wall clock may have
// jumped: a line counts as written no earlier than the one before it.
func sortEntries(entries []Entry) {
	latest := make(map[string]time.Time)
	keys := make([]time.Time, len(entries))
	order := make([]int, len(entries))
	for i, entry := range entries {
		if entry.Time.After(latest[entry.file]) {
			latest[entry.file] = entry.Time
		}
		keys[i], order[i] = latest[entry.file], i
	}
	slices.SortStableFunc(order, func(a, b int) int { return keys[a].Compare(keys[b]) })
	sorted := make([]Entry, 0, len(entries))
	for _, i := range order {
		sorted = append(sorted, entries[i])
	}
	copy(entries, sorted)
}
