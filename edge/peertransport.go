package edge

import (
	"net/http"
	"time"

	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/fetch"
)

// newPeerTransport returns a transport for calls to other hosts; dialTimeout bounds the time to connect.
func newPeerTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: dial.New(dialTimeout).DialContext, DisableCompression: true, MaxResponseHeaderBytes: fetch.MaxHead}
}
