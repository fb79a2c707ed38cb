package config

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke/check"
)

// table reads the keys of one TOML table and reports those of a wrong type and those
// that nobody asked for.
type table struct {
	place  string
	values map[string]any
	read   map[string]bool
	// bad marks keys of a wrong type, whose absence of a value is no second finding.
	bad    map[string]bool
	report *check.Report
}

func newTable(place string, values map[string]any, report *check.Report) *table {
	return &table{place: place, values: values, read: make(map[string]bool), bad: make(map[string]bool), report: report}
}

// at returns the place of a key for findings.
func (t *table) at(key string) string { return t.place + key }

// has reports whether the key is present.
func (t *table) has(key string) bool {
	_, ok := t.values[key]
	return ok
}

func (t *table) text(key string) string {
	return fetch[string](t, key, "a string")
}

func (t *table) whole(key string, target *int) {
	if t.has(key) {
		*target = int(fetch[int64](t, key, "a whole number"))
	}
	t.read[key] = true
}

func (t *table) duration(key string, target *time.Duration) {
	t.read[key] = true
	if !t.has(key) {
		return
	}
	text, ok := t.values[key].(string)
	if !ok {
		t.wrongType(key, `a duration such as "5s"`)
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.report.Addf(t.at(key), "%q is no duration such as \"5s\"", text)
		return
	}
	*target = parsed
}

func (t *table) texts(key string) []string {
	var found []string
	for _, element := range fetch[[]any](t, key, "an array of strings") {
		text, ok := element.(string)
		if !ok {
			t.report.Addf(t.at(key), "element %v is %T, want a string", element, element)
			continue
		}
		found = append(found, text)
	}
	return found
}

func (t *table) tables(key string) []map[string]any {
	if list, ok := t.values[key].([]any); ok && len(list) == 0 {
		t.read[key] = true
		return nil
	}
	return fetch[[]map[string]any](t, key, "an array of tables")
}

// finish reports the keys that were never read.
func (t *table) finish() {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.read[key] {
			t.report.Addf(t.at(key), "is not a known key")
		}
	}
}

func (t *table) wrongType(key, want string) {
	t.bad[key] = true
	t.report.Addf(t.at(key), "is %T, want %s", t.values[key], want)
}

func fetch[T any](t *table, key, want string) T {
	t.read[key] = true
	value, ok := t.values[key].(T)
	if !ok && t.has(key) {
		t.wrongType(key, want)
	}
	return value
}
