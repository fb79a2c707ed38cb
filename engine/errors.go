package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// maxErrorBody bounds what is read of an error answer.
const maxErrorBody = 64 << 10

// notRun marks an error as that of a run which did not start, and gives its class.
func notRun(class, cause error) error {
	return errors.Join(spoke.ErrNotRun, class, cause)
}

// refusalOf maps an error answer. Only the codes that the protocol lists prove that nothing
// ran; any other answer leaves the outcome open.
func refusalOf(at spoke.Address, answer *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBody))
	var body errorBody
	_ = json.Unmarshal(raw, &body)
	cause := eris.Errorf("engine %s answered %d %q: %s", at, answer.StatusCode, body.Error.Code, body.Error.Message)
	switch {
	case answer.StatusCode == http.StatusConflict && body.Error.Code == "wrong-version":
		return notRun(spoke.ErrWrongVersion, cause)
	case answer.StatusCode == http.StatusConflict && body.Error.Code == "draining":
		return notRun(spoke.ErrDraining, cause)
	case answer.StatusCode == http.StatusConflict && body.Error.Code == "busy":
		return notRun(spoke.ErrBusy, cause)
	case answer.StatusCode == http.StatusConflict && body.Error.Code == "stale-fence":
		return errors.Join(spoke.ErrStaleFence, cause)
	case answer.StatusCode == http.StatusForbidden && body.Error.Code == "not-authorized":
		return errors.Join(spoke.ErrNotAuthorized, cause)
	}
	return cause
}
