package store

import (
	"encoding/json"
	"errors"
	"net/http"

	"magnoliaspoke.example/spoke"
)

type (
	metaBody struct {
		Generation spoke.Generation `json:"generation"`
		Checksum   spoke.Checksum   `json:"checksum"`
		Length     spoke.ByteSize   `json:"length"`
	}

	commitBody struct {
		Generation spoke.Generation `json:"generation"`
	}

	pinBody struct {
		Generation spoke.Generation `json:"generation"`
		TTLMs      int64            `json:"ttl-ms"`
	}

	usageBody struct {
		MemoryUsed   spoke.ByteSize `json:"memory-used"`
		MemorySize   spoke.ByteSize `json:"memory-size"`
		DiskUsed     spoke.ByteSize `json:"disk-used"`
		DiskSize     spoke.ByteSize `json:"disk-size"`
		Blocks       int            `json:"blocks"`
		LinkQueue    spoke.ByteSize `json:"link-queue"`
		BytesRead    spoke.ByteSize `json:"bytes-read"`
		BytesWritten spoke.ByteSize `json:"bytes-written"`
	}

	// faultsBody is the body of POST /faults; absent fields leave their faults unchanged.
	faultsBody struct {
		// LinkRate is in bytes per second; zero removes the limit.
		LinkRate *spoke.ByteRate `json:"link-rate"`
		// Freeze suspends all transfers and leaves their connections open.
		Freeze *bool `json:"freeze"`
		// Full makes the host refuse all writes.
		Full *bool `json:"full"`
		// Corrupt is the key of a block in which one bit is flipped, or "all" for all blocks.
		Corrupt string `json:"corrupt"`
		// Restart aborts transfers and drops all pins and the memory tier.
		Restart bool `json:"restart"`
		// OldGenerations resets the generation counter at a restart, so that generations are reused.
		OldGenerations bool `json:"old-generations"`
	}

	errorBody struct {
		Error string `json:"error"`
	}
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errMissing):
		status = http.StatusNotFound
	case errors.Is(err, errChanged):
		status = http.StatusConflict
	case errors.Is(err, errFull):
		status = http.StatusInsufficientStorage
	}
	writeJSON(w, status, errorBody{Error: err.Error()})
}
