package ticket

import (
	"slices"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// ErrBaseMissing marks an update whose base is not the manifest in force.
var ErrBaseMissing = eris.New("base of the update is not the manifest in force")

// Update is the difference between a manifest and a later one, so that hosts need not exchange
// the complete manifest for each ticket.
type Update struct {
	// Base is the number of the earlier manifest; zero means that Set holds all objects.
	Base    spoke.TicketNumber
	Number  spoke.TicketNumber
	Set     []spoke.ManifestEntry
	Removed []spoke.ObjectKey
}

// UpdateBetween returns the update from base to next, which is complete if base is nil.
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

// Apply returns the manifest after the update, or current if that is at least as new. It fails
// with ErrBaseMissing if current is not the base of the update.
func (u Update) Apply(current *spoke.Manifest) (*spoke.Manifest, error) {
	if current != nil && current.Number >= u.Number {
		return current, nil
	}
	next := &spoke.Manifest{Number: u.Number, Entries: make(map[spoke.ObjectKey]spoke.ManifestEntry)}
	if u.Base != 0 {
		if number(current) != u.Base {
			return nil, eris.Wrapf(ErrBaseMissing, "update from %d to %d, but %d is in force", u.Base, u.Number, number(current))
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
