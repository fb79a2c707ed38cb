package caller

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// PanicFields returns the log fields of a recovered panic, nil if there was none. It panics again with
// http.ErrAbortHandler, with which handlers end an answer on purpose.
func PanicFields(recovered any) logrus.Fields {
	if recovered == nil {
		return nil
	}
	if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(recovered)
	}
	return logrus.Fields{"panic": fmt.Sprint(recovered), "stack": string(debug.Stack())}
}
