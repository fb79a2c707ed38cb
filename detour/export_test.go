package detour

import (
	"bufio"
	"io"

	"golang.org/x/sys/unix"
)

// MaxFrameBytes is the size limit of a data frame, for tests.
const MaxFrameBytes = maxFrameBytes

// ErrEnd, ErrReset and ErrFrame are the errors of last frames, for tests.
var ErrEnd, ErrReset, ErrFrame error = errEnd, errReset, errFrame

// FrameReader reads frames, for tests.
type FrameReader struct{ frames frameReader }

// NewFrameReader returns a reader of frames.
func NewFrameReader(source io.Reader) *FrameReader {
	return &FrameReader{frameReader{reader: bufio.NewReaderSize(source, readBufferBytes)}}
}

// Read reads bytes of data frames.
func (r *FrameReader) Read(p []byte) (int, error) { return r.frames.read(p) }

// Unsent returns the number of bytes that wait for room at the relaying host, for tests.
func (c *Conn) Unsent() int {
	unsent := 0
	control, err := c.tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = control.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) })
	return unsent
}

// Transferred returns the number of bytes that the tunnel's connection has carried in both directions, for tests.
func (c *Conn) Transferred() int {
	control, err := c.tcp.SyscallConn()
	if err != nil {
		return 0
	}
	transferred := 0
	_ = control.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			transferred = int(info.Bytes_acked + info.Bytes_received)
		}
	})
	return transferred
}
