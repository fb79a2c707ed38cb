package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"magnoliaspoke.example/spoke/check"
)

// decodeFields decodes a JSON object into the tagged fields of the struct that target points to.
// Unlike json.Decoder it does not stop at the first fault: it reports every unknown or malformed
// field and matches names exactly, including case.
func decodeFields(report *check.Report, place string, raw json.RawMessage, target any) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		report.Addf(place, "%s is no JSON object", abbreviate(raw))
		return
	}
	value := reflect.ValueOf(target).Elem()
	known := make(map[string]reflect.Value)
	for i := range value.NumField() {
		known[value.Type().Field(i).Tag.Get("json")] = value.Field(i)
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field, ok := known[name]
		if !ok {
			report.Addf(joinPlace(place, name), "unknown field")
			continue
		}
		decodeField(report, joinPlace(place, name), members[name], field)
	}
}

func decodeField(report *check.Report, place string, raw json.RawMessage, field reflect.Value) {
	isRaw := field.Type() == reflect.TypeFor[json.RawMessage]()
	switch {
	case isRaw:
		field.SetBytes(raw)
	case field.Kind() == reflect.Struct:
		decodeFields(report, place, raw, field.Addr().Interface())
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
		decodeElements(report, place, raw, field)
	default:
		if err := json.Unmarshal(raw, field.Addr().Interface()); err != nil {
			report.Addf(place, "%s does not fit: want %s", abbreviate(raw), field.Type())
		}
	}
}

func decodeElements(report *check.Report, place string, raw json.RawMessage, field reflect.Value) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		report.Addf(place, "%s is no JSON array", abbreviate(raw))
		return
	}
	field.Set(reflect.MakeSlice(field.Type(), len(elements), len(elements)))
	for i, element := range elements {
		decodeFields(report, fmt.Sprintf("%s[%d]", place, i), element, field.Index(i).Addr().Interface())
	}
}

func joinPlace(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

func abbreviate(raw []byte) string {
	const shown = 60
	if len(raw) > shown {
		return string(raw[:shown]) + "..."
	}
	return string(raw)
}
