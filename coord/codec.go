package coord

import (
	"magnoliaspoke.example/spoke"
)

type (
	pairBody struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}

	pairsBody struct {
		Pairs    []pairBody `json:"pairs"`
		Revision uint64     `json:"revision"`
	}

	putBody struct {
		Value    []byte `json:"value"`
		Expected uint64 `json:"expected-revision"`
		TTL      int64  `json:"ttl-ms"`
	}

	revisionBody struct {
		Revision uint64 `json:"revision"`
	}

	leaseBody struct {
		Holder string `json:"holder,omitempty"`
		Token  uint64 `json:"token,omitempty"`
		TTL    int64  `json:"ttl-ms"`
	}

	hostBody struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		State   string `json:"state"`
	}

	hostsBody struct {
		Hosts []hostBody `json:"hosts"`
	}
)

func (p pairBody) pair() spoke.KeyValuePair {
	return spoke.KeyValuePair{Key: p.Key, Value: p.Value, Revision: spoke.Revision(p.Revision)}
}

func (p pairsBody) pairs() []spoke.KeyValuePair {
	pairs := make([]spoke.KeyValuePair, 0, len(p.Pairs))
	for _, body := range p.Pairs {
		pairs = append(pairs, body.pair())
	}
	return pairs
}

func (h hostBody) host() spoke.ListedHost {
	return spoke.ListedHost{Name: h.Name, Address: spoke.Address(h.Address), State: spoke.HostState(h.State)}
}
