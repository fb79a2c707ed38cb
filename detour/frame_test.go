package detour_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/detour"
)

// decodeSimply decodes frames without buffers or state, for comparison.
func decodeSimply(raw []byte) (data []byte, last error) {
	for len(raw) > 0 {
		switch raw[0] {
		case 1:
			if len(raw) < 5 {
				return data, io.EOF
			}
			length := binary.BigEndian.Uint32(raw[1:])
			if length == 0 || length > detour.MaxFrameBytes {
				return data, detour.ErrFrame
			}
			whole := min(int(length), len(raw)-5)
			data = append(data, raw[5:5+whole]...)
			raw = raw[5+whole:]
		case 2:
			return data, detour.ErrEnd
		case 3:
			return data, detour.ErrReset
		default:
			return data, detour.ErrFrame
		}
	}
	return data, io.EOF
}

// Guards against bytes that are taken for other frames than they are, in any pieces, and against memory that a length claims.
func FuzzFrames(f *testing.F) {
	for _, raw := range []string{
		"", "\x01", "\x01\x00\x00\x00\x04part\x02", "\x01\x00\x00\x00\x04part\x03more", "\x02\x01", "\x00", "\x04", "\xff",
		"\x01\x00\x00\x00\x00\x02", "\x01\x00\x00\x80\x01", "\x01\xff\xff\xff\xff", "\x01\x00\x00\x80\x00part",
		"\x01\x00\x00\x00\x01a\x01\x00\x00\x00\x01b\x01\x00\x00\x00\x01c",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		want, last := decodeSimply(raw)
		for _, source := range []io.Reader{bytes.NewReader(raw), iotest.OneByteReader(bytes.NewReader(raw)), iotest.DataErrReader(bytes.NewReader(raw))} {
			reader := detour.NewFrameReader(source)
			var got []byte
			var err error
			buffer := make([]byte, 7)
			for err == nil {
				var n int
				n, err = reader.Read(buffer)
				got = append(got, buffer[:n]...)
			}
			assert.Assert(t, bytes.Equal(got, want), "%q instead of %q", got, want)
			assert.Assert(t, errors.Is(err, last), "%v instead of %v", err, last)
			_, again := reader.Read(buffer)
			assert.Assert(t, errors.Is(again, last), "%v, then %v", err, again)
		}
	})
}

// Guards against memory that a frame claims without sending it.
func TestLengthsClaimNoMemory(t *testing.T) {
	raw := []byte("\x01\x00\x00\x80\x00part")
	buffer := make([]byte, 16)
	source := bytes.NewReader(raw)
	reader := detour.NewFrameReader(source)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		if n, err := reader.Read(buffer); n != 4 && !errors.Is(err, io.EOF) {
			t.Errorf("%d bytes, %v", n, err)
		}
	}), 0.0)
}
