package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["wall"] = wall }

// wall makes a tenant isolated by a new manifest and looks whether another tenant's requests use its KV cache.
func wall(log *record, hasTrouble bool) verdict {
	const configApply = 2 * time.Second
	var mu sync.Mutex
	isIsolated, foreign := false, 0
	st := startStore(log)
	st.put("op/config", manifest(7, !hasTrouble))
	startLLM(log, st, func(e *engine) {
		e.onPart = func(e *engine, r *http.Request, part, salt, maker string) {
			mu.Lock()
			defer mu.Unlock()
			tenant := r.Header.Get(prefixHdr + "Tenant")
			if maker == tenant {
				return
			}
			log.add("request %s of tenant %s uses part %s that tenant %s made, at engine %s under the salt %q; packing is isolated: %t",
				r.Header.Get(prefixHdr+"Request-Id"), tenant, part, maker, e.id, salt, isIsolated)
			if isIsolated {
				foreign++
			}
		}
	})
	started := startHosts(log, st, 3, settings{})
	ask := func(key, tenant string, n int) {
		for i := range n {
			h := started[i%len(started)]
			k := call{method: http.MethodPost, path: pathStream + "2f", key: key, deadline: 10 * time.Second, body: []byte("prompt"), header: map[string]string{
				prefixHdr + "Model": modelName, prefixHdr + "Token-Usage": "1460,5",
				prefixHdr + "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e44%05x:250", requestNumber.Load()),
			}}
			got := once(h.caller, k)
			log.add("request %s was sent by tenant %s to %s", got.id, tenant, h.name)
		}
	}
	mu.Lock()
	isIsolated = !hasTrouble
	mu.Unlock()
	ask(keyPacking, "packing", 12)
	st.put("op/config", manifest(9, true))
	log.add("manifest 9 confirmed: tenant packing is isolated")
	time.Sleep(configApply + time.Second)
	mu.Lock()
	isIsolated = true
	mu.Unlock()
	ask(keyShops, "shops", 12)
	ask(keyPacking, "packing", 6)
	mu.Lock()
	defer mu.Unlock()
	return verdict{foreign > 0, fmt.Sprintf("%d uses of KV cache that another tenant made while tenant packing was isolated", foreign)}
}
