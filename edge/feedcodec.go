package edge

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// The answer to a host that polls the feed of another one.
type (
	feedRow struct {
		Revision uint64 `json:"revision"`
		// AgeMs is ProvenMs under the name that earlier hosts read; theirs rests on less.
		AgeMs int64 `json:"age-ms"`
		// ProvenMs is for how long the directory may have changed without the host's knowledge, in milliseconds. Earlier
		// hosts do not state it.
		ProvenMs *int64 `json:"proven-ms,omitempty"`
		// HeldMs is how long the host held the request, in milliseconds.
		HeldMs int64 `json:"held-ms,omitempty"`
		// CompleteMs is how long ago the host had received all changes, in milliseconds; absent if unknown.
		CompleteMs *int64         `json:"complete-ms,omitempty"`
		Entries    []feedEntryRow `json:"news,omitempty"`
	}

	feedEntryRow struct {
		After    uint64 `json:"after"`
		Revision uint64 `json:"revision"`
		// MissedMs is how long before this answer the change may have been made, in milliseconds.
		MissedMs int64  `json:"missed-ms,omitempty"`
		Raw      []byte `json:"raw"`
	}

	// feedAnswer is the directory view of a host and its changes after a revision.
	feedAnswer struct {
		view spoke.DirectoryView
		// completeAge is how long ago the host had received all changes.
		completeAge time.Duration
		entries     []feedEntry
		receivedAt  time.Time
		// held is how long the host held the request.
		held time.Duration
		// provenAt is the time up to which the host knew all changes.
		provenAt time.Time
	}
)

func encodeFeed(now time.Time, answer feedAnswer) ([]byte, error) {
	complete := answer.completeAge.Milliseconds()
	// Milliseconds are rounded so that no age seems lower.
	proven := answer.view.Age.Milliseconds() + 1
	row := feedRow{
		Revision: uint64(answer.view.Revision), AgeMs: proven, ProvenMs: &proven, HeldMs: answer.held.Milliseconds(), CompleteMs: &complete,
	}
	for _, entry := range answer.entries {
		row.Entries = append(row.Entries, feedEntryRow{
			After: uint64(entry.after), Revision: uint64(entry.revision), MissedMs: entry.maxAge(now).Milliseconds(), Raw: entry.raw,
		})
	}
	raw, err := json.Marshal(row)
	return raw, eris.Wrap(err, "encode changes of the directory")
}

func decodeFeed(now time.Time, raw []byte) (feedAnswer, error) {
	var row feedRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return feedAnswer{}, eris.Wrap(err, "decode changes of the directory")
	}
	answer := feedAnswer{
		view:        spoke.DirectoryView{Revision: spoke.Revision(row.Revision), Age: place.UnknownAge},
		completeAge: place.UnknownAge, receivedAt: now, held: max(time.Duration(row.HeldMs), 0) * time.Millisecond,
	}
	if row.ProvenMs != nil {
		answer.view.Age = max(time.Duration(*row.ProvenMs), 0) * time.Millisecond
	}
	if row.CompleteMs != nil {
		answer.completeAge = max(time.Duration(*row.CompleteMs), 0) * time.Millisecond
	}
	last := spoke.Revision(0)
	for _, entry := range row.Entries {
		if entry.Revision <= entry.After || spoke.Revision(entry.Revision) <= last || entry.Revision > row.Revision {
			return feedAnswer{}, eris.Errorf("change of the directory has invalid revisions: from %d to %d, after a change to %d", entry.After, entry.Revision, last)
		}
		last = spoke.Revision(entry.Revision)
		answer.entries = append(answer.entries, feedEntry{
			after: spoke.Revision(entry.After), revision: last, raw: entry.Raw,
			seenAt: now, initialAge: max(time.Duration(entry.MissedMs), 0) * time.Millisecond,
		})
	}
	return answer, nil
}
