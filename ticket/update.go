package ticket

import (
	"slices"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// ErrBaseMissing marks an update that starts from another manifest than the one in force.
var ErrBaseMissing = eris.New("update starts from another manifest")

// Update leads from one manifest to a later one, so that hosts need not exchange
// the whole manifest for each ticket.
type Update struct {
	// Base is the number that the update starts from; zero means that it holds everything.
	Base    spoke.TicketNumber
	Number  spoke.TicketNumber
	Set     []spoke.ManifestEntry
	Removed []spoke.ObjectKey
}

// UpdateBetween returns the update from one manifest to a later one; a nil base gives a whole one.
func UpdateBetween(base, next *spoke.Manifest) Update {
	update := Update{Base: number(base), Number: next.Number}
	for _, key := range sortedKeys(next) {
		entry := next.Entries[key]
		if update.Base == 0 || base.Entries[key].SetBy != entry.SetBy {
			update.Set = append(update.Set, entry)
		}
	}
	if update.Base == 0 {
		return update
	}
	for _, key := range sortedKeys(base) {
		if _, kept := next.Entries[key]; !kept {
			update.Removed = append(update.Removed, key)
		}
	}
	return update
}

// Apply returns the manifest after the update, or the current one if that is as new;
// it fails with ErrBaseMissing if the update starts elsewhere.
func (u Update) Apply(current *spoke.Manifest) (*spoke.Manifest, error) {
	if current != nil && current.Number >= u.Number {
		return current, nil
	}
	next := &spoke.Manifest{Number: u.Number, Entries: make(map[spoke.ObjectKey]spoke.ManifestEntry)}
	if u.Base != 0 {
		if number(current) != u.Base {
			return nil, eris.Wrapf(ErrBaseMissing, "from %d to %d, in force is %d", u.Base, u.Number, number(current))
		}
		for key, entry := range current.Entries {
			if !slices.Contains(u.Removed, key) {
				next.Entries[key] = entry
			}
		}
	}
	for _, entry := range u.Set {
		next.Entries[entry.Object.Key()] = entry
	}
	return next, nil
}
