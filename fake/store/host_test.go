package store_test

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/store"
	"magnoliaspoke.example/spoke/timer"
)

type (
	version struct {
		key        int
		generation spoke.Generation
	}

	// storeMachine is the model of a host: the blocks that were committed and the pins in force.
	storeMachine struct {
		host      *store.Host
		clock     *timer.Manual
		committed map[version][]byte
		pinned    map[version]time.Time
	}
)

// send sends one request to the host; an aborted connection is reported as status 0.
func send(host *store.Host, method, path string, length int, body []byte) (status int, response []byte) {
	request := httptest.NewRequest(method, path, bytes.NewReader(body))
	request.ContentLength = int64(length)
	sum := sha256.Sum256(body)
	request.Header.Set("X-Checksum", hex.EncodeToString(sum[:]))
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status, response = 0, nil
		}
	}()
	host.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.Bytes()
}

func path(key int) string { return "/blocks/" + spoke.BlockKey{byte(key)}.String() }

func (m *storeMachine) generation(t *rapid.T, key int) spoke.Generation {
	status, response := send(m.host, http.MethodGet, path(key)+"/meta", 0, nil)
	if status == http.StatusNotFound {
		return 0
	}
	var meta struct {
		Generation spoke.Generation `json:"generation"`
	}
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, json.Unmarshal(response, &meta))
	return meta.Generation
}

func (m *storeMachine) Put(t *rapid.T) {
	key := rapid.IntRange(0, 5).Draw(t, "key")
	data := bytes.Repeat([]byte{rapid.Byte().Draw(t, "content")}, 100)
	status, response := send(m.host, http.MethodPut, path(key), len(data), data)
	if status == http.StatusInsufficientStorage {
		assert.Assert(t, len(m.pinned) > 0, "a host without pinned blocks evicts instead of refusing the write")
		return
	}
	assert.Equal(t, status, http.StatusOK)
	var commit struct {
		Generation spoke.Generation `json:"generation"`
	}
	assert.NilError(t, json.Unmarshal(response, &commit))
	if old, ok := m.committed[version{key, commit.Generation}]; ok {
		assert.DeepEqual(t, old, data)
	}
	m.committed[version{key, commit.Generation}] = data
}

func (m *storeMachine) PutPart(t *rapid.T) {
	key := rapid.IntRange(0, 5).Draw(t, "key")
	before := m.generation(t, key)
	status, _ := send(m.host, http.MethodPut, path(key), 100, make([]byte, rapid.IntRange(0, 99).Draw(t, "sent")))
	assert.Assert(t, status != http.StatusOK)
	assert.Equal(t, m.generation(t, key), before)
}

func (m *storeMachine) Pin(t *rapid.T) {
	key := rapid.IntRange(0, 5).Draw(t, "key")
	generation := m.generation(t, key)
	body := fmt.Appendf(nil, `{"generation":%d,"ttl-ms":1000}`, generation)
	status, _ := send(m.host, http.MethodPost, path(key)+"/pin", len(body), body)
	assert.Equal(t, status == http.StatusOK, generation != 0)
	if generation != 0 {
		m.pinned[version{key, generation}] = m.clock.Now().Add(time.Second)
	}
}

func (m *storeMachine) Delete(t *rapid.T) {
	key := rapid.IntRange(0, 5).Draw(t, "key")
	send(m.host, http.MethodDelete, path(key), 0, nil)
	assert.Equal(t, m.generation(t, key), spoke.Generation(0))
}

func (m *storeMachine) Wait(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
	for name, until := range m.pinned {
		if !until.After(m.clock.Now()) {
			delete(m.pinned, name)
		}
	}
}

func (m *storeMachine) Check(t *rapid.T) {
	// Reads change the LRU order, so they must happen in the same order in each run.
	names := slices.SortedFunc(maps.Keys(m.committed), func(a, b version) int {
		return cmp.Or(a.key-b.key, cmp.Compare(a.generation, b.generation))
	})
	for _, name := range names {
		data := m.committed[name]
		status, response := send(m.host, http.MethodGet, fmt.Sprintf("%s?generation=%d", path(name.key), name.generation), 0, nil)
		if _, ok := m.pinned[name]; ok {
			assert.Equal(t, status, http.StatusOK, "a pinned generation stays readable")
		}
		if status == http.StatusOK {
			assert.DeepEqual(t, response, data)
		}
	}
	var usage struct {
		Memory int `json:"memory-used"`
		Disk   int `json:"disk-used"`
	}
	_, response := send(m.host, http.MethodGet, "/usage", 0, nil)
	assert.NilError(t, json.Unmarshal(response, &usage))
	assert.Assert(t, usage.Memory+usage.Disk <= 400, "tiers hold %v of 400 bytes", usage)
}

// Guards against partial writes that become visible, reads that return another generation, pins
// that do not protect a generation, and tiers that exceed their size.
func TestHostAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		machine := &storeMachine{
			host:      store.New(store.WithTimer(clock), store.WithTiers(200, 200)),
			clock:     clock,
			committed: make(map[version][]byte),
			pinned:    make(map[version]time.Time),
		}
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

// Guards against a restarted host that still serves blocks from memory, and against generations
// that continue after a restart although the old-generations fault is set.
func TestRestartDropsMemoryAndGenerations(t *testing.T) {
	host := store.New(store.WithTiers(100, 200))
	for key := range 2 {
		status, _ := send(host, http.MethodPut, path(key), 100, bytes.Repeat([]byte{byte(key)}, 100))
		assert.Equal(t, status, http.StatusOK)
	}
	fault := []byte(`{"restart":true,"old-generations":true}`)
	status, _ := send(host, http.MethodPost, "/faults", len(fault), fault)
	assert.Equal(t, status, http.StatusOK)
	status, _ = send(host, http.MethodGet, path(0), 0, nil)
	assert.Equal(t, status, http.StatusOK, "the disk tier survives a restart")
	status, _ = send(host, http.MethodGet, path(1), 0, nil)
	assert.Equal(t, status, http.StatusNotFound, "the memory tier does not survive a restart")
	_, response := send(host, http.MethodPut, path(2), 100, make([]byte, 100))
	assert.Equal(t, string(response), "{\"generation\":1}\n")
}
