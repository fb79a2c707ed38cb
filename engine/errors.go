package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// maxErrorBody bounds the bytes read of an error response.
const maxErrorBody = 64 << 10

// notRun joins ErrNotRun with the class and the cause of the error, either of which may be nil.
func notRun(class, cause error) error {
	return errors.Join(spoke.ErrNotRun, class, cause)
}

// responseError maps an error response to an error. Only the codes listed by the protocol prove
// that nothing ran; any other response, and one that was cut, leaves the outcome unknown.
func responseError(addr spoke.Address, response *http.Response) error {
	_, err := namedResponseError(addr, response)
	return err
}

// refusalError is responseError for a run. On a connection in use again, a response that does not name the run may be a
// late one to an earlier run.
func refusalError(addr spoke.Address, response *http.Response, attempt spoke.AttemptID, isReused bool) error {
	named, err := namedResponseError(addr, response)
	if named == attempt || (named == "" && !isReused) || !errors.Is(err, spoke.ErrNotRun) {
		return err
	}
	return errors.Join(spoke.ErrIncomplete, eris.Errorf("response to attempt %s names attempt %q: %s", attempt, named, err))
}

// namedResponseError returns the error of a response and the run that it names, empty if it names none.
func namedResponseError(addr spoke.Address, response *http.Response) (spoke.AttemptID, error) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return "", eris.Wrapf(err, "engine %s answered %d with a body that was cut", addr, response.StatusCode)
	}
	var body errorBody
	_ = json.Unmarshal(raw, &body)
	cause := eris.Errorf("engine %s answered %d %q: %s", addr, response.StatusCode, body.Error.Code, body.Error.Message)
	return body.Error.Attempt, classify(response.StatusCode, body.Error.Code, cause)
}

// classify adds to the cause what a status and a code of the protocol state.
func classify(status int, code string, cause error) error {
	switch {
	case status == http.StatusConflict && code == "wrong-version":
		return notRun(spoke.ErrWrongVersion, cause)
	case status == http.StatusConflict && code == "draining":
		return notRun(spoke.ErrDraining, cause)
	case status == http.StatusConflict && code == "busy":
		return notRun(spoke.ErrBusy, cause)
	case status == http.StatusConflict && code == "stale-fence":
		return errors.Join(spoke.ErrStaleFence, cause)
	case status == http.StatusForbidden && code == "not-authorized":
		return errors.Join(spoke.ErrNotAuthorized, cause)
	}
	return cause
}
