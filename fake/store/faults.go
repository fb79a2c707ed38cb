package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

const corruptAll = "all"

func (h *Host) faults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&body); err != nil {
		refuse(w, eris.Wrap(err, "faults"))
		return
	}
	h.link.set(func(p *pipe) {
		if body.LinkRate != nil {
			p.rate = *body.LinkRate
		}
		if body.Freeze != nil {
			p.frozen = *body.Freeze
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if body.Full != nil {
		h.full = *body.Full
	}
	if body.Corrupt != "" {
		h.corrupt(body.Corrupt)
	}
	if body.Restart {
		h.end()
		h.session, h.end = context.WithCancel(context.Background())
		h.tiers.restart(body.OldGenerations)
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

// corrupt flips a byte in a copy, because transfers in progress read the old data.
func (h *Host) corrupt(which string) {
	for key, held := range h.tiers.blocks {
		if (which != corruptAll && key.String() != which) || len(held.data) == 0 {
			continue
		}
		held.data = bytes.Clone(held.data)
		held.data[len(held.data)/2] ^= 1
	}
}
