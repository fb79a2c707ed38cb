package store_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fake/store"
)

// Guards against concurrent transfers that together exceed the link's rate.
func TestTransfersShareLinkRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := store.New(store.WithLinkRate(1 << 20))
		started := time.Now()
		var writes sync.WaitGroup
		for key := range 4 {
			writes.Go(func() {
				status, _ := send(host, http.MethodPut, path(key), 1<<18, make([]byte, 1<<18))
				assert.Check(t, status == http.StatusOK)
			})
		}
		writes.Wait()
		assert.Equal(t, time.Since(started).Round(time.Millisecond), time.Second)
		host.Close()
	})
}

// Guards against a frozen transfer that completes during the fault or does not resume after it.
func TestFreezeSuspendsTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := store.New()
		fault := func(freeze bool) {
			body := fmt.Appendf(nil, `{"freeze":%v}`, freeze)
			status, _ := send(host, http.MethodPost, "/faults", len(body), body)
			assert.Equal(t, status, http.StatusOK)
		}
		fault(true)
		started := time.Now()
		var finished time.Duration
		go func() {
			status, _ := send(host, http.MethodPut, path(1), 100, make([]byte, 100))
			assert.Check(t, status == http.StatusOK)
			finished = time.Since(started)
		}()
		<-time.After(time.Hour)
		fault(false)
		synctest.Wait()
		assert.Equal(t, finished, time.Hour)
		host.Close()
	})
}
