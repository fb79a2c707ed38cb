package detour

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/pool"
)

const (
	// copyBytes is the most that is read from an upstream at a time.
	copyBytes = 8 << 10
	// directions is the number of tasks of a tunnel.
	directions = 2
	// writeTimeout is the time of a blocked write behind which a tunnel looks whether the other host is still there.
	writeTimeout = 20 * time.Millisecond
	// lastTimeout is the time in which the other host ends a tunnel whose upstream was reset.
	lastTimeout = 10 * time.Second

	// switching is the answer that turns a request's connection into a tunnel.
	switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
)

var buffers = pool.New(func() *[headerBytes + copyBytes]byte { return new([headerBytes + copyBytes]byte) })

// tunnel relays between the connection of another host and that to an upstream.
type tunnel struct {
	host     net.Conn
	upstream net.Conn
	frames   frameReader
	// hasLostUpstream is set by relayToUpstream after a write that failed.
	hasLostUpstream bool
	// ended is called when both directions have ended.
	ended func()
	// endedDirections counts the directions that have ended.
	endedDirections atomic.Int32
}

func (t *tunnel) start() {
	for _, relay := range []func(){t.relayToUpstream, t.relayToHost} {
		go func() {
			relay()
			if t.endedDirections.Add(1) == directions {
				t.close()
				t.ended()
			}
		}()
	}
}

// relayToUpstream relays the other host's bytes and ends the tunnel as that host does.
func (t *tunnel) relayToUpstream() {
	if err := t.relayFrames(); errors.Is(err, errEnd) {
		t.close()
		return
	}
	t.abort()
}

// relayFrames relays data frames until the other host's last frame or the end of its connection.
func (t *tunnel) relayFrames() error {
	for {
		if err := t.frames.await(); err != nil {
			return err
		}
		if err := t.relayFrame(); err != nil {
			return err
		}
	}
}

// relayFrame relays the rest of a data frame. It holds no buffer while it waits for the next one. Bytes for an upstream that
// has gone are dropped, since relayToHost tells the other host.
func (t *tunnel) relayFrame() error {
	buffer := buffers.Get()
	defer buffers.Put(buffer)
	for t.frames.remaining > 0 {
		n, err := t.frames.read(buffer[:])
		if err != nil {
			return err
		}
		if dial.IsReset(t.host) {
			// This host may have stood still since the bytes arrived.
			return errReset
		}
		t.hasLostUpstream = t.hasLostUpstream || t.writeToUpstream(buffer[:n]) != nil
	}
	return nil
}

// writeToUpstream writes while the other host is there: behind a blocked write, nobody reads how its connection ends.
func (t *tunnel) writeToUpstream(p []byte) error {
	for {
		if err := t.upstream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		n, err := t.upstream.Write(p)
		p = p[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) || !dial.IsEstablished(t.host) {
			return err
		}
	}
}

// relayToHost relays the upstream's bytes and how its connection ends.
func (t *tunnel) relayToHost() {
	buffer := buffers.Get()
	defer buffers.Put(buffer)
	if _, err := io.WriteString(t.host, switching); err != nil {
		t.abort()
		return
	}
	for {
		n, err := t.upstream.Read(buffer[headerBytes:])
		if n > 0 {
			putHeader(buffer[:], n)
			if _, err := t.host.Write(buffer[:headerBytes+n]); err != nil {
				t.abort()
				return
			}
		}
		if err != nil {
			t.sendLast(err)
			return
		}
	}
}

// sendLast tells the other host how the upstream's connection ended.
func (t *tunnel) sendLast(err error) {
	last := kindReset
	switch {
	case errors.Is(err, io.EOF) && dial.IsEndedInOrder(t.upstream):
		last = kindEnd
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		_ = t.host.SetReadDeadline(time.Now().Add(lastTimeout))
	default:
		// The upstream no longer responds, or the tunnel is closed: the other host may try another way.
		t.abort()
		return
	}
	if _, err := t.host.Write([]byte{byte(last)}); err != nil {
		t.abort()
	}
}

// close ends both connections.
func (t *tunnel) close() {
	_ = t.upstream.Close()
	_ = t.host.Close()
}

// abort resets both connections.
func (t *tunnel) abort() {
	_ = dial.Reset(t.upstream)
	_ = dial.Reset(t.host)
}
