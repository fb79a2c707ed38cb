package ticket

import (
	"fmt"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

// validator checks the manifest that a ticket would lead to.
type validator struct {
	report *check.Report
	next   *spoke.Manifest
	// places maps the key of each object in the ticket to its place there.
	places map[spoke.ObjectKey]string
}

// Validate checks a ticket and the complete manifest that it leads to. The error is a
// *check.Report of all findings.
func Validate(m *spoke.Manifest, t spoke.Ticket) error {
	v := validator{report: &check.Report{}, places: make(map[spoke.ObjectKey]string)}
	v.header(t)
	v.objects(t)
	v.removals(m, t)
	v.next = m.Apply(t)
	v.services()
	v.workspaces()
	v.ranks()
	v.models()
	v.upstreams()
	v.storeHosts()
	v.addresses()
	return v.report.Err()
}

func (v *validator) header(t spoke.Ticket) {
	if t.Number == 0 {
		v.report.Addf("number", "must be above zero")
	}
	if t.Author == "" {
		v.report.Addf("author", "is empty")
	}
	if len(t.Objects)+len(t.Removed) == 0 {
		v.report.Addf("objects", "the ticket neither sets nor removes an object")
	}
}

func (v *validator) objects(t spoke.Ticket) {
	for i, object := range t.Objects {
		place := fmt.Sprintf("objects[%d]", i)
		key := object.Key()
		if first, ok := v.places[key]; ok {
			v.report.Addf(place, "%s is set at %s too", key, first)
			continue
		}
		v.places[key] = place
	}
}

func (v *validator) removals(m *spoke.Manifest, t spoke.Ticket) {
	seen := make(map[spoke.ObjectKey]bool)
	for i, key := range t.Removed {
		place := fmt.Sprintf("removed[%d]", i)
		if first, ok := v.places[key]; ok {
			v.report.Addf(place, "%s is set at %s", key, first)
		}
		if seen[key] {
			v.report.Addf(place, "%s is removed twice", key)
		}
		seen[key] = true
		if m == nil || m.Entries[key].Object == nil {
			v.report.Addf(place, "%s does not exist", key)
		}
	}
}

// at returns the place of an object's field, in the ticket or else in the manifest.
func (v *validator) at(object spoke.Object, field string) string {
	if place, ok := v.places[object.Key()]; ok {
		return place + ".value." + field
	}
	return "manifest " + object.Key().String() + "." + field
}

func (v *validator) addf(object spoke.Object, field, format string, args ...any) {
	v.report.Addf(v.at(object, field), format, args...)
}
