package platform

// The subset of the platform's protocol messages that the stand-in implements.
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
		Conditions []struct {
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

	leaseBody struct {
		TTLMs int64 `json:"ttl-ms"`
	}

	orderBody struct {
		Version  int `json:"version"`
		Fence    int `json:"fence"`
		Expected int `json:"expected-rev"`
	}
)
