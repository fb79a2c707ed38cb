package guard

import (
	"errors"
	"io"
	"net/http"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fetch"
)

const (
	// firstRead is the size of the first buffer of a body without a length, and mostly of one with a length, which may not
	// come.
	firstRead, firstKnownRead spoke.ByteSize = 1 << 10, 16 << 10
	// growth and knownGrowth are the factors by which buffers grow.
	growth, knownGrowth = 2, 4
)

// Call is the share of a request in the budget. A nil call has no bounds.
type Call struct{ c *conn }

// CallOf returns the share of a request, nil if its server is not protected.
func CallOf(r *http.Request) *Call {
	if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
		return &Call{c}
	}
	return nil
}

// ReadBody reads a body to its end. length is the size that the caller has stated, not above the limit, and negative if
// there is none. Its errors match fetch.ErrTooLong above the limit, and fetch.ErrMemory without memory or if the connection
// was chosen to be closed for others.
func (c *Call) ReadBody(body io.Reader, length, limit spoke.ByteSize) ([]byte, error) {
	if !c.AwaitBody() {
		return nil, fetch.ErrMemory
	}
	content, err := c.read(body, length, limit)
	switch {
	case c == nil:
	case c.c.isClosed.Load():
		err = fetch.ErrMemory
	case err == nil && !c.c.guard.enter(c.c, Running):
		err = fetch.ErrMemory
	}
	if err != nil {
		c.reserve(-spoke.ByteSize(cap(content)))
		return nil, err
	}
	return content, nil
}

// Reserve adds memory that the decoded call takes beside its head; it returns false if there is no room for it.
func (c *Call) Reserve(size spoke.ByteSize) bool { return c.reserve(size) }

// AwaitBody lets the connection be closed for others while its body is read or discarded; it returns false if it is to be
// closed.
func (c *Call) AwaitBody() bool { return c == nil || c.c.guard.enter(c.c, Body) }

func (c *Call) reserve(size spoke.ByteSize) bool { return c == nil || c.c.guard.reserve(c.c, size) }

// read returns the content with the buffer that is reserved, also with an error.
func (c *Call) read(body io.Reader, length, limit spoke.ByteSize) ([]byte, error) {
	first, most, factor := firstRead, limit+1, spoke.ByteSize(growth)
	if length >= 0 {
		// The end of a body of the stated size is found without a larger buffer.
		first, most, factor = min(length+1, firstKnownRead), length+1, knownGrowth
	}
	if !c.reserve(first) {
		return nil, fetch.ErrMemory
	}
	content := make([]byte, 0, first)
	for {
		if len(content) == cap(content) {
			if spoke.ByteSize(len(content)) >= most {
				return content, fetch.ErrTooLong
			}
			old := spoke.ByteSize(cap(content))
			size := min(factor*old, most)
			if !c.reserve(size) {
				return content, fetch.ErrMemory
			}
			content = append(make([]byte, 0, size), content...)
			c.reserve(-old)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) && spoke.ByteSize(len(content)) > limit {
			return content, fetch.ErrTooLong
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
}
