package store

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const maxControlBody = 64 << 10

// Host is the stand-in of one store host; it serves the store protocol.
type Host struct {
	set  settings
	mux  *http.ServeMux
	link *pipe
	disk *pipe

	mu      sync.Mutex
	tiers   *tiers
	full    bool
	read    spoke.ByteSize
	written spoke.ByteSize
	// session ends when the host restarts or closes.
	session context.Context
	end     context.CancelFunc
	closed  bool
}

// New returns an empty store host.
func New(opts ...Option) *Host {
	set := newSettings(opts)
	host := &Host{
		set:   set,
		mux:   http.NewServeMux(),
		link:  newPipe(set.clock, set.linkRate),
		disk:  newPipe(set.clock, set.diskRate),
		tiers: newTiers(set),
	}
	host.session, host.end = context.WithCancel(context.Background())
	host.mux.HandleFunc("PUT /blocks/{key}", host.put)
	host.mux.HandleFunc("GET /blocks/{key}", host.get)
	host.mux.HandleFunc("GET /blocks/{key}/meta", host.meta)
	host.mux.HandleFunc("POST /blocks/{key}/pin", host.pin)
	host.mux.HandleFunc("DELETE /blocks/{key}", host.remove)
	host.mux.HandleFunc("GET /usage", host.usage)
	host.mux.HandleFunc("POST /faults", host.faults)
	return host
}

// ServeHTTP serves the store protocol; a closed host ends each connection.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	closed := h.closed
	h.mu.Unlock()
	if closed {
		panic(http.ErrAbortHandler)
	}
	h.mux.ServeHTTP(w, r)
}

// Close ends all transfers.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.end()
}

func (h *Host) meta(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	h.mu.Lock()
	found, err := h.tiers.find(key, 0)
	var body metaBody
	if err == nil {
		body = metaBody{
			Generation: found.generation,
			Checksum:   found.checksum,
			Length:     spoke.ByteSize(len(found.data)),
		}
	}
	h.mu.Unlock()
	if err != nil {
		refuse(w, err)
		return
	}
	answerJSON(w, http.StatusOK, body)
}

func (h *Host) pin(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	var body pinBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&body); err != nil {
		refuse(w, eris.Wrap(err, "pin"))
		return
	}
	ttl := min(time.Duration(body.TTL)*time.Millisecond, maxPin)
	h.mu.Lock()
	found, err := h.tiers.find(key, body.Generation)
	if err == nil {
		if until := h.set.clock.Now().Add(ttl); until.After(found.pinned) {
			found.pinned = until
		}
	}
	h.mu.Unlock()
	if err != nil {
		refuse(w, err)
		return
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

func (h *Host) remove(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	h.mu.Lock()
	removed := h.tiers.remove(key)
	h.mu.Unlock()
	if !removed {
		refuse(w, errMissing)
		return
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

func (h *Host) usage(w http.ResponseWriter, _ *http.Request) {
	queue := h.link.queued()
	h.mu.Lock()
	memory, disk := h.tiers.used()
	body := usageBody{
		MemoryUsed:   memory,
		MemorySize:   h.set.memory,
		DiskUsed:     disk,
		DiskSize:     h.set.disk,
		Blocks:       len(h.tiers.blocks),
		LinkQueue:    queue,
		BytesRead:    h.read,
		BytesWritten: h.written,
	}
	h.mu.Unlock()
	answerJSON(w, http.StatusOK, body)
}

func keyOf(w http.ResponseWriter, r *http.Request) (spoke.BlockKey, bool) {
	key, err := spoke.ParseBlockKey(r.PathValue("key"))
	if err != nil {
		refuse(w, err)
		return key, false
	}
	return key, true
}
