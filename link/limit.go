package link

import (
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds the response heads of one exchange, including those of informational
	// responses and of responses to earlier requests.
	maxHeadBytes = 64 << 10
	// maxInformational bounds the informational (1xx) responses before a final one.
	maxInformational = 8
	// unlimited is larger than any body.
	unlimited = 1 << 62
)

// ErrHeadTooLong reports that the response heads of an exchange exceed their size limit, or that too
// many informational responses precede the final one.
var ErrHeadTooLong = eris.New("response head is too long")

// limitedReader reads at most remaining bytes and then fails, so that an endless head neither grows
// memory nor lasts until the deadline of the call.
type limitedReader struct {
	io.Reader
	remaining int64
}

// Read reads at most the remaining bytes; it returns ErrHeadTooLong when there are none.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	if int64(len(buffer)) > r.remaining {
		buffer = buffer[:r.remaining]
	}
	n, err := r.Reader.Read(buffer)
	r.remaining -= int64(n)
	return n, err
}
