package model

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// maxBodyBytes limits request bodies; the caller API accepts 8 MiB, which JSON escapes may double.
const maxBodyBytes = 32 << 20

const (
	codeWrongVersion  = "wrong-version"
	codeDraining      = "draining"
	codeBusy          = "busy"
	codeStaleFence    = "stale-fence"
	codeNotAuthorized = "not-authorized"
	codeDeadline      = "deadline-passed"
	codeBadRequest    = "bad-request"
)

type (
	completionBody struct {
		Model      spoke.ModelName    `json:"model"`
		Prompt     string             `json:"prompt"`
		MaxTokens  spoke.TokenCount   `json:"max_tokens"`
		Stream     bool               `json:"stream"`
		Priority   spoke.Priority     `json:"priority"`
		Request    spoke.RequestID    `json:"request_id"`
		Attempt    spoke.AttemptID    `json:"attempt_id"`
		Version    spoke.ModelVersion `json:"version"`
		Salt       string             `json:"cache_salt"`
		ResumeFrom spoke.TokenCount   `json:"resume_from"`
	}

	choiceBody struct {
		Text   string              `json:"text"`
		Finish *spoke.FinishReason `json:"finish_reason"`
	}

	usageBody struct {
		Prompt     spoke.TokenCount `json:"prompt_tokens"`
		Completion spoke.TokenCount `json:"completion_tokens"`
		Cached     spoke.TokenCount `json:"cached_tokens"`
	}

	chunkBody struct {
		ID      spoke.RequestID    `json:"id"`
		Attempt spoke.AttemptID    `json:"attempt_id"`
		Version spoke.ModelVersion `json:"version"`
		Offset  spoke.TokenCount   `json:"offset"`
		Choices []choiceBody       `json:"choices"`
		Usage   *usageBody         `json:"usage,omitempty"`
	}

	cancelBody struct {
		Attempt spoke.AttemptID `json:"attempt-id"`
	}

	loadBody struct {
		Running   int                                    `json:"running"`
		Waiting   int                                    `json:"waiting"`
		Versions  map[spoke.ModelName]spoke.ModelVersion `json:"versions"`
		Role      string                                 `json:"role"`
		Draining  bool                                   `json:"draining"`
		CacheUsed spoke.ByteSize                         `json:"cache-used"`
		CacheSize spoke.ByteSize                         `json:"cache-size"`
		AsOf      time.Time                              `json:"as-of"`
	}

	eventBody struct {
		Sequence spoke.Sequence       `json:"seq"`
		Kind     spoke.CacheEventKind `json:"kind"`
		Key      string               `json:"key"`
	}

	eventsBody struct {
		Events []eventBody    `json:"events"`
		Next   spoke.Sequence `json:"next"`
	}

	snapshotBody struct {
		AsOf spoke.Sequence `json:"as-of"`
		Keys []string       `json:"keys"`
	}

	importBody struct {
		Keys    []importKey `json:"keys"`
		LimitMs int64       `json:"limit-ms"`
	}

	importKey struct {
		Key        string           `json:"key"`
		Generation spoke.Generation `json:"generation"`
		Checksum   spoke.Checksum   `json:"checksum"`
		Length     spoke.ByteSize   `json:"length"`
		Store      spoke.Address    `json:"store"`
	}

	importResponse struct {
		Imported []string `json:"imported"`
		Rejected []string `json:"rejected"`
	}

	exportBody struct {
		Keys []exportKey `json:"keys"`
	}

	exportKey struct {
		Key   string        `json:"key"`
		Store spoke.Address `json:"store"`
	}

	exportResponse struct {
		Exported []string `json:"exported"`
		Failed   []string `json:"failed"`
	}

	orderBody struct {
		Kind          spoke.OrderKind    `json:"kind"`
		Model         spoke.ModelName    `json:"model"`
		Version       spoke.ModelVersion `json:"version"`
		Adapter       spoke.AdapterName  `json:"adapter"`
		Role          string             `json:"role"`
		Fence         spoke.FencingToken `json:"fencing-token"`
		Deadline      time.Time          `json:"deadline"`
		Authorization string             `json:"authorization"`
	}

	// faultsBody is the body of POST /faults; absent fields leave their faults unchanged.
	faultsBody struct {
		Silent       bool     `json:"silent"`
		CloseStreams bool     `json:"close-streams"`
		ResetStreams bool     `json:"reset-streams"`
		SlowFactor   *float64 `json:"slow-factor"`
		CrossStreams *bool    `json:"cross-streams"`
	}

	countersBody struct {
		RunsStarted     int              `json:"runs-started"`
		RunsFinished    int              `json:"runs-finished"`
		TokensPrefilled spoke.TokenCount `json:"tokens-prefilled"`
		TokensCached    spoke.TokenCount `json:"tokens-cached"`
		TokensImported  spoke.TokenCount `json:"tokens-imported"`
		TokensDecoded   spoke.TokenCount `json:"tokens-decoded"`
		Runs            []runBody        `json:"runs"`
	}

	runBody struct {
		Request spoke.RequestID    `json:"request-id"`
		Attempt spoke.AttemptID    `json:"attempt-id"`
		Version spoke.ModelVersion `json:"version"`
		// BlockVersions and BlockSalts list the versions and salts of the cached blocks that the run used.
		BlockVersions []spoke.ModelVersion `json:"block-versions"`
		BlockSalts    []string             `json:"block-salts"`
		Salt          string               `json:"salt"`
	}

	// contentHeader is the first line of a block's content; filler bytes follow it.
	contentHeader struct {
		Key     string             `json:"key"`
		Model   spoke.ModelName    `json:"model"`
		Version spoke.ModelVersion `json:"version"`
		Salt    string             `json:"salt"`
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		// Attempt is the run that is refused; other calls have none.
		Attempt spoke.AttemptID `json:"attempt_id,omitempty"`
	}
)

func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}

// encodeContent returns the content of a block; it is identical on every engine.
func encodeContent(key spoke.BlockKey, resident block, size spoke.ByteSize) []byte {
	// Encoding the header cannot fail.
	header, _ := json.Marshal(contentHeader{
		Key:     key.String(),
		Model:   resident.model,
		Version: resident.version,
		Salt:    resident.salt,
	})
	content := make([]byte, max(int(size), len(header)+1))
	copy(content, header)
	content[len(header)] = '\n'
	for i := len(header) + 1; i < len(content); i++ {
		content[i] = key[i%len(key)]
	}
	return content
}

func decodeContent(content []byte) (contentHeader, error) {
	var header contentHeader
	line, _, ok := bytes.Cut(content, []byte("\n"))
	if !ok {
		return header, eris.Errorf("block content of %d bytes has no header", len(content))
	}
	return header, eris.Wrap(json.Unmarshal(line, &header), "block header")
}
