package ticket

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

type (
	objectEnvelope struct {
		Kind  spoke.ObjectKind `json:"kind"`
		Value json.RawMessage  `json:"value"`
	}

	keyBody struct {
		Kind spoke.ObjectKind `json:"kind"`
		Name string           `json:"name"`
	}

	ticketBody struct {
		Number  spoke.TicketNumber `json:"number"`
		Author  string             `json:"author"`
		Objects []objectEnvelope   `json:"objects"`
		Removed []keyBody          `json:"removed"`
	}

	entryBody struct {
		Kind  spoke.ObjectKind   `json:"kind"`
		SetBy spoke.TicketNumber `json:"set-by"`
		Value json.RawMessage    `json:"value"`
	}

	// updateBody is a complete manifest if its base is zero.
	updateBody struct {
		Base    spoke.TicketNumber `json:"base"`
		Number  spoke.TicketNumber `json:"number"`
		Entries []entryBody        `json:"entries"`
		Removed []keyBody          `json:"removed"`
	}
)

// EncodeTicket returns the JSON form of a ticket. Equal tickets give equal bytes, regardless of
// the order of their objects.
func EncodeTicket(t spoke.Ticket) ([]byte, error) {
	body := ticketBody{Number: t.Number, Author: t.Author, Objects: []objectEnvelope{}, Removed: []keyBody{}}
	for _, object := range slices.SortedFunc(slices.Values(t.Objects), compareByKey) {
		raw, err := encodeObject(object)
		if err != nil {
			return nil, eris.Wrapf(err, "ticket %d", t.Number)
		}
		body.Objects = append(body.Objects, objectEnvelope{Kind: object.Key().Kind, Value: raw})
	}
	for _, key := range slices.SortedFunc(slices.Values(t.Removed), compareKeys) {
		body.Removed = append(body.Removed, keyBody(key))
	}
	return json.Marshal(body)
}

// DecodeTicket decodes the JSON form of a ticket. The error is a *check.Report of all findings.
func DecodeTicket(data []byte) (spoke.Ticket, error) {
	var report check.Report
	var body ticketBody
	decodeFields(&report, "", data, &body)
	t := spoke.Ticket{Number: body.Number, Author: body.Author}
	for i, envelope := range body.Objects {
		place := fmt.Sprintf("objects[%d]", i)
		if object := decodeObject(&report, place, envelope.Kind, envelope.Value); object != nil {
			t.Objects = append(t.Objects, object)
		}
	}
	for _, key := range body.Removed {
		t.Removed = append(t.Removed, spoke.ObjectKey(key))
	}
	return t, report.Err()
}

// EncodeManifest returns the JSON form of a complete manifest, as exchanged between hosts.
func EncodeManifest(m *spoke.Manifest) ([]byte, error) {
	return EncodeUpdate(UpdateBetween(nil, m))
}

// DecodeManifest decodes the JSON form of a complete manifest. The error is a *check.Report of all
// findings, or matches ErrBaseMissing if the manifest is not complete.
func DecodeManifest(data []byte) (*spoke.Manifest, error) {
	update, err := DecodeUpdate(data)
	if err != nil {
		return nil, err
	}
	return update.Apply(nil)
}

// EncodeUpdate returns the JSON form of an update, as exchanged between hosts.
func EncodeUpdate(u Update) ([]byte, error) {
	body := updateBody{Base: u.Base, Number: u.Number, Entries: []entryBody{}, Removed: []keyBody{}}
	for _, entry := range u.Set {
		raw, err := encodeObject(entry.Object)
		if err != nil {
			return nil, eris.Wrapf(err, "manifest %d", u.Number)
		}
		body.Entries = append(body.Entries, entryBody{Kind: entry.Object.Key().Kind, SetBy: entry.SetBy, Value: raw})
	}
	for _, key := range u.Removed {
		body.Removed = append(body.Removed, keyBody(key))
	}
	return json.Marshal(body)
}

// DecodeUpdate decodes the JSON form of an update. The error is a *check.Report of all findings.
func DecodeUpdate(data []byte) (Update, error) {
	var report check.Report
	var body updateBody
	decodeFields(&report, "", data, &body)
	update := Update{Base: body.Base, Number: body.Number}
	for i, entry := range body.Entries {
		place := fmt.Sprintf("entries[%d]", i)
		if object := decodeObject(&report, place, entry.Kind, entry.Value); object != nil {
			update.Set = append(update.Set, spoke.ManifestEntry{Object: object, SetBy: entry.SetBy})
		}
	}
	for _, key := range body.Removed {
		update.Removed = append(update.Removed, spoke.ObjectKey(key))
	}
	return update, report.Err()
}

// digest returns the SHA-256 of content in lower-case hexadecimal.
func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func compareByKey(a, b spoke.Object) int { return compareKeys(a.Key(), b.Key()) }

func compareKeys(a, b spoke.ObjectKey) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func sortedKeys(m *spoke.Manifest) []spoke.ObjectKey {
	keys := make([]spoke.ObjectKey, 0, len(m.Entries))
	for key := range m.Entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
