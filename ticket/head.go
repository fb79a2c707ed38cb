package ticket

import (
	"fmt"
	"slices"

	"magnoliaspoke.example/spoke"
)

const (
	// Prefix is the prefix of all configuration keys in the key-value service.
	Prefix = "config/"
	// ManifestKey is the key of the manifest; a change of it is a change of the configuration.
	ManifestKey = manifestKey

	manifestKey  = Prefix + "manifest"
	valuePrefix  = Prefix + "values/"
	ticketPrefix = Prefix + "tickets/"

	// recentTickets is how many accepted tickets the manifest itself lists; older ones have
	// a record of their own. 256 entries take about 35 KB of the 1 MB that a value may have.
	recentTickets = 256
	// maxManifest leaves a margin below the 1 MB limit of the key-value service.
	maxManifest = 900_000
)

type (
	// reference points from the manifest to the content-addressed value of an object.
	reference struct {
		key    spoke.ObjectKey
		setBy  spoke.TicketNumber
		digest string
	}

	// accepted identifies the content of an accepted ticket.
	accepted struct {
		Number spoke.TicketNumber
		Author string
		Digest string
	}

	// head is the manifest as the key-value service holds it.
	head struct {
		number     spoke.TicketNumber
		references []reference
		// recent holds the last accepted tickets, the oldest first.
		recent []accepted
	}

	// value is content with its address.
	value struct {
		digest  string
		content []byte
	}
)

func valueKey(digest string) string { return valuePrefix + digest }

func ticketKey(number spoke.TicketNumber) string {
	return fmt.Sprintf("%s%020d", ticketPrefix, number)
}

func (h head) find(number spoke.TicketNumber) (accepted, bool) {
	at := slices.IndexFunc(h.recent, func(a accepted) bool { return a.Number == number })
	if at < 0 {
		return accepted{}, false
	}
	return h.recent[at], true
}

// next returns the head after the ticket, and the tickets that it no longer lists.
func (h head) next(m *spoke.Manifest, digests map[spoke.ObjectKey]string, a accepted) (head, []accepted) {
	following := head{number: m.Number}
	for _, key := range sortedKeys(m) {
		following.references = append(following.references,
			reference{key: key, setBy: m.Entries[key].SetBy, digest: digests[key]})
	}
	recent := append(slices.Clone(h.recent), a)
	dropped := max(0, len(recent)-recentTickets)
	following.recent = recent[dropped:]
	return following, recent[:dropped]
}
