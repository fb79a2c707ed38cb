package kvsvc

import (
	"encoding/json"
	"net/http"
)

type (
	pairBody struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}

	pairsBody struct {
		Pairs    []pairBody `json:"pairs"`
		Revision uint64     `json:"revision"`
	}

	putBody struct {
		Value    []byte `json:"value"`
		Expected uint64 `json:"expected-revision"`
		TTLMs    int64  `json:"ttl-ms"`
	}

	revisionBody struct {
		Revision uint64 `json:"revision"`
	}

	leaseBody struct {
		Holder string `json:"holder,omitempty"`
		Token  uint64 `json:"token"`
		TTLMs  int64  `json:"ttl-ms"`
	}

	hostBody struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		State   string `json:"state"`
	}

	hostsBody struct {
		Hosts []hostBody `json:"hosts"`
		// LagMs is the delay in milliseconds after which GET /hosts returns the list.
		LagMs int64 `json:"lag-ms,omitempty"`
	}

	// Faults is the body of POST /faults; it replaces all earlier faults.
	Faults struct {
		// Outage is empty, "refuse" (503 at once) or "hold" (no response until the outage ends).
		Outage string `json:"outage"`
		// DelayMs delays each call; a delayed write takes effect even if its caller has disconnected.
		DelayMs int64 `json:"delay-ms"`
		// DelayWritesMs delays the effect of each write of a key; it does not delay reads.
		DelayWritesMs int64 `json:"delay-writes-ms"`
		// LoseAnswers is the probability that a write or lease call takes effect but its response is lost.
		LoseAnswers float64 `json:"lose-answers"`
		// LoseNext is the number of following writes and lease calls whose responses are lost.
		LoseNext int `json:"lose-next"`
		// StaleReads is the probability that a read returns each key as it was before its last write.
		StaleReads float64 `json:"stale-reads"`
	}

	// Calls is the response of GET /calls.
	Calls struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
		// Watches is the number of watches that were started.
		Watches int64 `json:"watches"`
		// WaitingWatches is the number of watches that are currently waiting.
		WaitingWatches int64 `json:"waiting-watches"`
		LeaseCalls     int64 `json:"lease-calls"`
		// ValueBytes is the total size of the values of all writes, including writes that failed with a conflict.
		ValueBytes int64 `json:"value-bytes"`
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

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorBody{text})
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}
