package ticket

import (
	"fmt"
	"slices"

	"magnoliaspoke.example/spoke"
)

const (
	// Prefix is the prefix of all configuration keys in the key-value service.
	Prefix = "config/"
	// ManifestKey is the key of the manifest, which every change of the configuration writes.
	ManifestKey = manifestKey

	manifestKey  = Prefix + "manifest"
	valuePrefix  = Prefix + "values/"
	ticketPrefix = Prefix + "tickets/"

	// maxRecentTickets is the number of accepted tickets that the manifest lists; each older one
	// has a record under its own key. 256 entries take about 35 KB of the 1 MB limit of a value.
	maxRecentTickets = 256
	// maxManifestBytes bounds the encoded manifest, with a margin below the 1 MB limit of the
	// key-value service for a value.
	maxManifestBytes = 900_000
)

type (
	// reference is a manifest entry that refers to the content-addressed value of an object.
	reference struct {
		key    spoke.ObjectKey
		setBy  spoke.TicketNumber
		digest string
	}

	// ticketRecord identifies an accepted ticket and its content.
	ticketRecord struct {
		Number spoke.TicketNumber
		Author string
		Digest string
	}

	// head is the manifest as it is stored in the key-value service.
	head struct {
		number     spoke.TicketNumber
		references []reference
		// recent holds the most recently accepted tickets, the oldest first.
		recent []ticketRecord
	}

	// value is content with its content address.
	value struct {
		digest  string
		content []byte
	}
)

func valueKey(digest string) string { return valuePrefix + digest }

func ticketKey(number spoke.TicketNumber) string {
	return fmt.Sprintf("%s%020d", ticketPrefix, number)
}

func (h head) find(number spoke.TicketNumber) (ticketRecord, bool) {
	at := slices.IndexFunc(h.recent, func(record ticketRecord) bool { return record.Number == number })
	if at < 0 {
		return ticketRecord{}, false
	}
	return h.recent[at], true
}

// next returns the head of the manifest m, with accepted as the latest ticket, and the records that
// no longer fit in its list of recent tickets.
func (h head) next(m *spoke.Manifest, digests map[spoke.ObjectKey]string, accepted ticketRecord) (head, []ticketRecord) {
	nextHead := head{number: m.Number}
	for _, key := range sortedKeys(m) {
		nextHead.references = append(nextHead.references,
			reference{key: key, setBy: m.Entries[key].SetBy, digest: digests[key]})
	}
	recent := append(slices.Clone(h.recent), accepted)
	dropped := max(0, len(recent)-maxRecentTickets)
	nextHead.recent = recent[dropped:]
	return nextHead, recent[:dropped]
}
