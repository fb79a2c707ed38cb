package relay_test

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/relay"
)

// BenchmarkRoundTrip compares a round trip of one byte with and without a relay, because
// measurements of a set-up include the overhead of its relays.
func BenchmarkRoundTrip(b *testing.B) {
	direct := echo(b, "a")
	r, err := relay.New(loopback, direct)
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, r.Close()) })
	for name, address := range map[string]spoke.Address{"direct": direct, "relayed": r.Address()} {
		b.Run(name, func(b *testing.B) {
			conn, err := net.Dial("tcp", string(address))
			assert.NilError(b, err)
			defer conn.Close()
			buffer := make([]byte, 1)
			_, err = io.ReadFull(conn, buffer)
			assert.NilError(b, err)
			for b.Loop() {
				if _, err := conn.Write(buffer); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
