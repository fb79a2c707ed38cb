package tool

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// change is a path whose value differs between two documents; a document that lacks the path has an empty text.
type change struct {
	path     string
	old, new string
}

// identifiers are the members that identify an element of an array, so that moving or inserting
// an element does not change the paths of all later ones.
var identifiers = []string{"kind", "name", "id"}

// compareDocuments returns the differences between two JSON documents, sorted by path.
func compareDocuments(old, new []byte) ([]change, error) {
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(new)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			changes = append(changes, change{path, before[path], after[path]})
		}
	}
	return changes, nil
}

func (s *session) writeChanges(changes []change) error {
	if s.settings.JSON {
		return s.writeJSON(encodeChanges(changes))
	}
	for _, each := range changes {
		switch {
		case each.old == "":
			s.print("+ %s: %s\n", each.path, each.new)
		case each.new == "":
			s.print("- %s: %s\n", each.path, each.old)
		default:
			s.print("~ %s: %s -> %s\n", each.path, each.old, each.new)
		}
	}
	return nil
}

// flatten returns the JSON text of each scalar, keyed by path.
func flatten(text []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, eris.Wrap(err, "ticket is not valid JSON")
	}
	flat := make(map[string]string)
	collect(flat, "", document)
	return flat, nil
}

func collect(flat map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, member := range typed {
			collect(flat, join(path, key), member)
		}
	case []any:
		for i, element := range typed {
			collect(flat, path+"["+elementName(i, element)+"]", element)
		}
	default:
		text, err := json.Marshal(typed)
		if err != nil {
			text = []byte(fmt.Sprint(typed))
		}
		flat[path] = string(text)
	}
}

func elementName(index int, element any) string {
	members, ok := element.(map[string]any)
	if !ok {
		return fmt.Sprint(index)
	}
	var parts []string
	for _, key := range identifiers {
		if text, ok := members[key].(string); ok {
			parts = append(parts, text)
		}
	}
	if len(parts) == 0 {
		return fmt.Sprint(index)
	}
	return strings.Join(parts, "/")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
