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

const maxControlBodyBytes = 64 << 10

// Host is a stand-in for one store host; it serves the store protocol.
type Host struct {
	settings settings
	mux      *http.ServeMux
	link     *rateLimiter
	disk     *rateLimiter

	mu           sync.Mutex
	tiers        *tiers
	full         bool
	bytesRead    spoke.ByteSize
	bytesWritten spoke.ByteSize
	// session ends when the host restarts or closes; all transfers end with it.
	session    context.Context
	endSession context.CancelFunc
	closed     bool
}

// New returns an empty store host.
func New(opts ...Option) *Host {
	set := newSettings(opts)
	host := &Host{
		settings: set,
		mux:      http.NewServeMux(),
		link:     newRateLimiter(set.clock, set.linkRate),
		disk:     newRateLimiter(set.clock, set.diskRate),
		tiers:    newTiers(set),
	}
	host.session, host.endSession = context.WithCancel(context.Background())
	host.mux.HandleFunc("PUT /blocks/{key}", host.put)
	host.mux.HandleFunc("GET /blocks/{key}", host.get)
	host.mux.HandleFunc("GET /blocks/{key}/meta", host.meta)
	host.mux.HandleFunc("POST /blocks/{key}/pin", host.pin)
	host.mux.HandleFunc("DELETE /blocks/{key}", host.remove)
	host.mux.HandleFunc("GET /usage", host.usage)
	host.mux.HandleFunc("POST /faults", host.faults)
	return host
}

// ServeHTTP serves the store protocol; a closed host aborts each connection.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	closed := h.closed
	h.mu.Unlock()
	if closed {
		panic(http.ErrAbortHandler)
	}
	h.mux.ServeHTTP(w, r)
}

// Close aborts all transfers and all later requests.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.endSession()
}

func (h *Host) meta(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
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
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (h *Host) pin(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
	if !ok {
		return
	}
	var body pinBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&body); err != nil {
		writeError(w, eris.Wrap(err, "pin"))
		return
	}
	ttl := min(time.Duration(body.TTLMs)*time.Millisecond, maxPin)
	h.mu.Lock()
	found, err := h.tiers.find(key, body.Generation)
	if err == nil {
		if until := h.settings.clock.Now().Add(ttl); until.After(found.pinnedUntil) {
			found.pinnedUntil = until
		}
	}
	h.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Host) remove(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
	if !ok {
		return
	}
	h.mu.Lock()
	removed := h.tiers.remove(key)
	h.mu.Unlock()
	if !removed {
		writeError(w, errMissing)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Host) usage(w http.ResponseWriter, _ *http.Request) {
	queue := h.link.queuedBytes()
	h.mu.Lock()
	memory, disk := h.tiers.used()
	body := usageBody{
		MemoryUsed:   memory,
		MemorySize:   h.settings.memory,
		DiskUsed:     disk,
		DiskSize:     h.settings.disk,
		Blocks:       len(h.tiers.blocks),
		LinkQueue:    queue,
		BytesRead:    h.bytesRead,
		BytesWritten: h.bytesWritten,
	}
	h.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func parseKey(w http.ResponseWriter, r *http.Request) (spoke.BlockKey, bool) {
	key, err := spoke.ParseBlockKey(r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return key, false
	}
	return key, true
}
