package openai

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
)

// maxDeadline is the longest deadline that a caller may set; claims expire after it.
const maxDeadline = 24 * time.Hour

type (
	// directory finds workspaces by API key. It holds an index of the manifest in
	// force, because a scan of all workspaces for each request costs too much.
	directory struct{ index atomic.Pointer[keyIndex] }

	keyIndex struct {
		manifest   *spoke.Manifest
		workspaces map[spoke.KeyHash]spoke.Workspace
	}

	// counter counts the requests in progress of each workspace on this host.
	counter struct {
		mu      sync.Mutex
		running map[spoke.WorkspaceID]int
	}
)

func (d *directory) find(manifest *spoke.Manifest, hash spoke.KeyHash) (spoke.Workspace, bool) {
	index := d.index.Load()
	if index == nil || index.manifest != manifest {
		index = &keyIndex{manifest: manifest, workspaces: make(map[spoke.KeyHash]spoke.Workspace)}
		for _, workspace := range manifest.Workspaces() {
			for _, key := range workspace.KeyHashes {
				index.workspaces[key] = workspace
			}
		}
		d.index.Store(index)
	}
	workspace, ok := index.workspaces[hash]
	return workspace, ok
}

func (c *counter) enter(workspace spoke.Workspace) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if workspace.MaxConcurrent > 0 && c.running[workspace.ID] >= workspace.MaxConcurrent {
		return false
	}
	if c.running == nil {
		c.running = make(map[spoke.WorkspaceID]int)
	}
	c.running[workspace.ID]++
	return true
}

func (c *counter) leave(workspace spoke.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[workspace.ID]--
	if c.running[workspace.ID] == 0 {
		delete(c.running, workspace.ID)
	}
}

// identify checks the headers and finds the caller's workspace and deadline.
func (x *exchange) identify() error {
	if size := headerSize(x.r.Header); size > x.headerLimit {
		refusal := spoke.RefuseNotRun(spoke.CodeTooLarge, "headers have %d bytes, the limit is %d", size, x.headerLimit)
		refusal.Param = "header"
		return refusal
	}
	x.manifest = x.manifests.Current()
	if x.manifest == nil {
		refusal := spoke.RefuseNotRun(spoke.CodeNotReady, "no configuration is in force")
		refusal.RetryAfter = time.Second
		return refusal
	}
	scheme, key, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return spoke.RefuseNotRun(spoke.CodeUnauthorized, "the header Authorization holds no bearer key")
	}
	workspace, ok := x.directory.find(x.manifest, hashKey(key))
	if !ok {
		return spoke.RefuseNotRun(spoke.CodeUnauthorized, "unknown API key")
	}
	x.workspace = workspace
	return x.readDeadline()
}

func (x *exchange) readDeadline() error {
	const name = "X-Spoke-Deadline-Ms"
	text := x.r.Header.Get(name)
	if text == "" {
		return nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number <= 0 || number > maxDeadline.Milliseconds() {
		return badField(name, "%q is no number of milliseconds from 1 to %d", text, maxDeadline.Milliseconds())
	}
	x.deadline = x.received.Add(time.Duration(number) * time.Millisecond)
	return nil
}

// rank returns the rank that the caller asks for, else the service's default.
func (x *exchange) rank(service spoke.Service) (spoke.RankName, error) {
	const name = "X-Spoke-Rank"
	rank := spoke.RankName(x.r.Header.Get(name))
	if rank == "" {
		rank = service.DefaultRank
	}
	if _, ok := x.manifest.Rank(rank); !ok {
		refusal := spoke.RefuseNotRun(spoke.CodeNotFound, "unknown rank %q", rank)
		refusal.Param = name
		return "", refusal
	}
	return rank, nil
}

// allowed reports whether the caller's workspace may use the service.
func (x *exchange) allowed(service spoke.ServiceName) bool {
	return slices.Contains(x.workspace.Services, service)
}

func hashKey(key string) spoke.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return spoke.KeyHash(hex.EncodeToString(sum[:]))
}

func headerSize(header http.Header) spoke.ByteSize {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return spoke.ByteSize(size)
}

func badField(param, format string, args ...any) *spoke.Refusal {
	refusal := spoke.RefuseNotRun(spoke.CodeBadRequest, format, args...)
	refusal.Param = param
	return refusal
}
