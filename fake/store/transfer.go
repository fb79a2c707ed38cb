package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// put receives a block and commits it only if its length and checksum match the headers.
func (h *Host) put(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
	if !ok {
		return
	}
	want := spoke.Checksum(r.Header.Get("X-Checksum"))
	if r.ContentLength < 0 || want == "" || spoke.ByteSize(r.ContentLength) > maxBlockBytes {
		writeError(w, eris.Errorf("write of block %s needs X-Checksum and a length up to %d bytes", key, maxBlockBytes))
		return
	}
	if h.isFull(spoke.ByteSize(r.ContentLength)) {
		writeError(w, errFull)
		return
	}
	ctx, cancel := h.transferContext(r.Context())
	defer cancel()
	data, err := h.receive(ctx, r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(data)
	if got := spoke.Checksum(hex.EncodeToString(sum[:])); got != want {
		writeError(w, eris.Errorf("block %s has checksum %s, want %s", key, got, want))
		return
	}
	generation, err := h.commit(ctx, key, data, want)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, commitBody{Generation: generation})
}

func (h *Host) isFull(size spoke.ByteSize) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.full || size > h.settings.memory+h.settings.disk
}

func (h *Host) commit(ctx context.Context, key spoke.BlockKey, data []byte, checksum spoke.Checksum) (spoke.Generation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A restart between receipt and commit discards the write.
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	generation, err := h.tiers.commit(key, data, checksum)
	if err == nil {
		h.bytesWritten += spoke.ByteSize(len(data))
	}
	return generation, err
}

func (h *Host) receive(ctx context.Context, r *http.Request) ([]byte, error) {
	data := make([]byte, r.ContentLength)
	for start := 0; start < len(data); start += chunkBytes {
		chunk := data[start:min(start+chunkBytes, len(data))]
		if err := h.link.wait(ctx, len(chunk)); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(r.Body, chunk); err != nil {
			return nil, err
		}
	}
	return data, nil
}

// get sends a generation of a block at the rate of the link and, for blocks on disk, of the disk.
func (h *Host) get(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
	if !ok {
		return
	}
	generation, err := strconv.ParseUint("0"+r.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		writeError(w, eris.Wrapf(err, "generation of block %s", key))
		return
	}
	h.mu.Lock()
	found, err := h.tiers.find(key, spoke.Generation(generation))
	var data []byte
	var onDisk bool
	if err == nil {
		data, onDisk = found.data, found.onDisk
		h.tiers.promote(found)
	}
	h.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := h.transferContext(r.Context())
	defer cancel()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set("X-Checksum", string(found.checksum))
	if h.send(ctx, w, data, onDisk) != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *Host) send(ctx context.Context, w http.ResponseWriter, data []byte, onDisk bool) error {
	control := http.NewResponseController(w)
	for start := 0; start < len(data); start += chunkBytes {
		chunk := data[start:min(start+chunkBytes, len(data))]
		if onDisk {
			if err := h.disk.wait(ctx, len(chunk)); err != nil {
				return err
			}
		}
		if err := h.link.wait(ctx, len(chunk)); err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		h.mu.Lock()
		h.bytesRead += spoke.ByteSize(len(chunk))
		h.mu.Unlock()
	}
	return nil
}

// transferContext returns a context that also ends with the host's session, and its cancel function.
func (h *Host) transferContext(request context.Context) (context.Context, func()) {
	h.mu.Lock()
	session := h.session
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(request)
	stop := context.AfterFunc(session, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
