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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&body); err != nil {
		writeError(w, eris.Wrap(err, "faults"))
		return
	}
	h.link.update(func(l *rateLimiter) {
		if body.LinkRate != nil {
			l.rate = *body.LinkRate
		}
		if body.Freeze != nil {
			l.frozen = *body.Freeze
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
		h.endSession()
		h.session, h.endSession = context.WithCancel(context.Background())
		h.tiers.restart(body.OldGenerations)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// corrupt flips one bit in a copy of the data, because transfers in progress still read the original.
func (h *Host) corrupt(target string) {
	for key, current := range h.tiers.blocks {
		if (target != corruptAll && key.String() != target) || len(current.data) == 0 {
			continue
		}
		current.data = bytes.Clone(current.data)
		current.data[len(current.data)/2] ^= 1
	}
}
