package config

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke/check"
)

// table reads the keys of one TOML table. It reports keys with a value of the wrong type and, in
// finish, unknown keys.
type table struct {
	prefix string
	values map[string]any
	read   map[string]bool
	// mistyped holds the keys with a value of the wrong type, which are not also reported as
	// missing or empty.
	mistyped map[string]bool
	report   *check.Report
}

func newTable(prefix string, values map[string]any, report *check.Report) *table {
	return &table{prefix: prefix, values: values, read: make(map[string]bool), mistyped: make(map[string]bool), report: report}
}

// at returns the place of a key in findings.
func (t *table) at(key string) string { return t.prefix + key }

// has reports whether the key is present.
func (t *table) has(key string) bool {
	_, ok := t.values[key]
	return ok
}

func (t *table) text(key string) string {
	return typedValue[string](t, key, "a string")
}

func (t *table) integer(key string, target *int) {
	if t.has(key) {
		*target = int(typedValue[int64](t, key, "a whole number"))
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
	for _, element := range typedValue[[]any](t, key, "an array of strings") {
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
	return typedValue[[]map[string]any](t, key, "an array of tables")
}

// finish reports the keys that were not read as unknown.
func (t *table) finish() {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !t.read[key] {
			t.report.Addf(t.at(key), "is not a known key")
		}
	}
}

func (t *table) wrongType(key, want string) {
	t.mistyped[key] = true
	t.report.Addf(t.at(key), "is %T, want %s", t.values[key], want)
}

func typedValue[T any](t *table, key, want string) T {
	t.read[key] = true
	value, ok := t.values[key].(T)
	if !ok && t.has(key) {
		t.wrongType(key, want)
	}
	return value
}
