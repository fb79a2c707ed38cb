package ticket

import (
	"errors"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

var (
	// errUncertain marks a swap of the manifest that may have taken effect.
	errUncertain = eris.New("swap of the manifest without an answer")
	// errStaleRead marks a read of the manifest that is older than an earlier one.
	errStaleRead = eris.New("stale read of the manifest")
)

// plan is what a ticket writes whatever manifest it meets.
type plan struct {
	ticket   spoke.Ticket
	accepted accepted
	digests  map[spoke.ObjectKey]string
	values   []value
}

func newPlan(t spoke.Ticket) (plan, error) {
	content, err := EncodeTicket(t)
	if err != nil {
		return plan{}, err
	}
	p := plan{
		ticket:   t,
		accepted: accepted{Number: t.Number, Author: t.Author, Digest: digest(content)},
		digests:  make(map[spoke.ObjectKey]string),
	}
	p.values = append(p.values, value{p.accepted.Digest, content})
	for _, object := range t.Objects {
		raw, err := encodeObject(object)
		if err != nil {
			return plan{}, err
		}
		p.digests[object.Key()] = digest(raw)
		p.values = append(p.values, value{digest(raw), raw})
	}
	return p, nil
}

// digestsAfter returns the digests of all objects after the ticket; removed ones may be among them.
func (p plan) digestsAfter(h head) map[spoke.ObjectKey]string {
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
	if len(content) > maxManifest {
		report.Addf("manifest", "would have %d bytes, above the limit of %d", len(content), maxManifest)
	}
	return report.Err()
}

// isTransient reports whether another pass may succeed. A missing value is transient,
// since a read may lag behind the manifest.
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

// givenUp returns the error of a ticket that no pass settled. Only a lost answer of the
// manifest's swap leaves open whether the ticket is accepted.
func givenUp(t spoke.Ticket, lost bool, last error) error {
	if lost {
		return eris.Wrapf(spoke.ErrAnswerLost, "ticket %d may be accepted: %v", t.Number, last)
	}
	return eris.Wrapf(spoke.ErrUnavailable, "ticket %d not accepted: %v", t.Number, last)
}
