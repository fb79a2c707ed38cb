package ticket

import (
	"errors"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

var (
	// errUncertain marks a compare-and-swap of the manifest that may have taken effect.
	errUncertain = eris.New("swap of the manifest without an answer")
	// errStaleRead marks a read that returned an older manifest than an earlier call.
	errStaleRead = eris.New("stale read of the manifest")
)

// preparedTicket holds a ticket and its encoded writes, which do not depend on the current manifest.
type preparedTicket struct {
	ticket  spoke.Ticket
	record  ticketRecord
	digests map[spoke.ObjectKey]string
	values  []value
}

func prepareTicket(t spoke.Ticket) (preparedTicket, error) {
	content, err := EncodeTicket(t)
	if err != nil {
		return preparedTicket{}, err
	}
	p := preparedTicket{
		ticket:  t,
		record:  ticketRecord{Number: t.Number, Author: t.Author, Digest: digest(content)},
		digests: make(map[spoke.ObjectKey]string),
	}
	p.values = append(p.values, value{p.record.Digest, content})
	for _, object := range t.Objects {
		raw, err := encodeObject(object)
		if err != nil {
			return preparedTicket{}, err
		}
		p.digests[object.Key()] = digest(raw)
		p.values = append(p.values, value{digest(raw), raw})
	}
	return p, nil
}

// digestsAfter returns the digests of all objects after the ticket is applied to the head; it may
// include objects that the ticket removes.
func (p preparedTicket) digestsAfter(h head) map[spoke.ObjectKey]string {
	digests := make(map[spoke.ObjectKey]string, len(h.references)+len(p.digests))
	for _, r := range h.references {
		digests[r.key] = r.digest
	}
	for key, digest := range p.digests {
		digests[key] = digest
	}
	return digests
}

func checkSize(content []byte) error {
	var report check.Report
	if len(content) > maxManifestBytes {
		report.Addf("manifest", "would have %d bytes, above the limit of %d", len(content), maxManifestBytes)
	}
	return report.Err()
}

// isTransient reports whether another attempt may succeed. A missing value is transient,
// since a stale read may not return it yet.
func isTransient(err error) bool {
	for _, transient := range []error{
		spoke.ErrConflict, spoke.ErrUnavailable, spoke.ErrAnswerLost, spoke.ErrKeyMissing, errUncertain, errStaleRead,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// exhaustedError returns the error for a ticket whose attempts are exhausted. Whether the ticket
// was accepted is uncertain only if the answer to a compare-and-swap of the manifest was lost.
func exhaustedError(t spoke.Ticket, uncertain bool, lastErr error) error {
	if uncertain {
		return eris.Wrapf(spoke.ErrAnswerLost, "ticket %d may be accepted: %v", t.Number, lastErr)
	}
	return eris.Wrapf(spoke.ErrUnavailable, "ticket %d not accepted: %v", t.Number, lastErr)
}
