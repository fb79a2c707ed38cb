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
		TTL        int64            `json:"ttl-ms"`
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

	// faultsBody sets faults; absent members leave a fault as it is.
	faultsBody struct {
		// LinkRate is in bytes per second; zero lifts the limit.
		LinkRate *spoke.ByteRate `json:"link-rate"`
		// Freeze stops all transfers while their connections stay open.
		Freeze *bool `json:"freeze"`
		// Full refuses all writes.
		Full *bool `json:"full"`
		// Corrupt flips a byte of the block of the key, or of all blocks with the value "all".
		Corrupt string `json:"corrupt"`
		// Restart ends transfers and drops pins and the memory tier.
		Restart bool `json:"restart"`
		// OldGenerations makes a restarted host give out generations again.
		OldGenerations bool `json:"old-generations"`
	}

	errorBody struct {
		Error string `json:"error"`
	}
)

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errMissing):
		status = http.StatusNotFound
	case errors.Is(err, errChanged):
		status = http.StatusConflict
	case errors.Is(err, errFull):
		status = http.StatusInsufficientStorage
	}
	answerJSON(w, status, errorBody{Error: err.Error()})
}
