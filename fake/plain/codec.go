package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	responseBody struct {
		Method   string `json:"method"`
		Path     string `json:"path"`
		BodyHash string `json:"body-sha256"`
	}

	faultsBody struct {
		DelayMs int64 `json:"delay-ms"`
		Refuse  int   `json:"refuse"`
		Cut     int   `json:"cut"`
		Silent  int   `json:"silent"`
	}

	runsBody struct {
		Total     int                          `json:"total"`
		ByKey     map[spoke.IdempotencyKey]int `json:"by-key"`
		ByAttempt map[spoke.AttemptID]int      `json:"by-attempt"`
	}
)

func writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	sum := sha256.Sum256(body)
	writeJSON(w, responseBody{Method: r.Method, Path: r.URL.RequestURI(), BodyHash: hex.EncodeToString(sum[:])})
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	runs := s.Runs()
	writeJSON(w, runsBody(runs))
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(maxBodyBytes)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{
		Delay:  time.Duration(body.DelayMs) * time.Millisecond,
		Refuse: body.Refuse,
		Cut:    body.Cut,
		Silent: body.Silent,
	})
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The header has been sent, so the caller sees a failed write as a truncated response.
	_ = json.NewEncoder(w).Encode(body)
}
