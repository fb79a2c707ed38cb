package ticket

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

type (
	referenceBody struct {
		Kind   spoke.ObjectKind   `json:"kind"`
		Name   string             `json:"name"`
		SetBy  spoke.TicketNumber `json:"set-by"`
		Digest string             `json:"digest"`
	}

	ticketRecordBody struct {
		Number spoke.TicketNumber `json:"number"`
		Author string             `json:"author"`
		Digest string             `json:"digest"`
	}

	headBody struct {
		Number  spoke.TicketNumber `json:"number"`
		Entries []referenceBody    `json:"entries"`
		Recent  []ticketRecordBody `json:"recent"`
	}
)

func encodeHead(h head) ([]byte, error) {
	body := headBody{Number: h.number, Entries: []referenceBody{}, Recent: []ticketRecordBody{}}
	for _, r := range h.references {
		body.Entries = append(body.Entries, referenceBody{r.key.Kind, r.key.Name, r.setBy, r.digest})
	}
	for _, record := range h.recent {
		body.Recent = append(body.Recent, ticketRecordBody(record))
	}
	return json.Marshal(body)
}

func decodeHead(data []byte) (head, error) {
	var body headBody
	if err := json.Unmarshal(data, &body); err != nil {
		return head{}, eris.Wrapf(err, "manifest %q", manifestKey)
	}
	h := head{number: body.Number}
	for _, entry := range body.Entries {
		key := spoke.ObjectKey{Kind: entry.Kind, Name: entry.Name}
		h.references = append(h.references, reference{key: key, setBy: entry.SetBy, digest: entry.Digest})
	}
	for _, record := range body.Recent {
		h.recent = append(h.recent, ticketRecord(record))
	}
	return h, nil
}

func encodeTicketRecord(r ticketRecord) ([]byte, error) { return json.Marshal(ticketRecordBody(r)) }

func decodeTicketRecord(data []byte) (ticketRecord, error) {
	var body ticketRecordBody
	err := json.Unmarshal(data, &body)
	return ticketRecord(body), eris.Wrap(err, "ticket record")
}
