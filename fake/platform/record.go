package platform

import (
	"net/http"
	"time"
)

type (
	// Run is a request that an engine started to run.
	Run struct {
		ID     string
		Method string
		Target string
		Host   string
		Header http.Header
		Body   string
	}

	// Arrival is a request that arrived at an engine.
	Arrival struct {
		ID string
		At time.Time
		// PrefixHashes is the header that lists the parts of the prompt.
		PrefixHashes string
	}
)
