package platform

// The messages of the platform's protocol, as far as the stand-in knows them.
type (
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"create-revision,omitempty"`
		Lease    uint64 `json:"lease,omitempty"`
		Deleted  bool   `json:"deleted,omitempty"`
	}

	txn struct {
		On []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}

	leaseRow struct {
		TTL int64 `json:"ttl-ms"`
	}

	orderRow struct {
		Version int `json:"version"`
		Fence   int `json:"fence"`
		After   int `json:"expected-rev"`
	}
)
