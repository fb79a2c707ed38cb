package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/delta"
)

const (
	// maxContentsPerKey is the number of contents kept of an entry, so that hosts that lag behind by one or two
	// changes get the difference.
	maxContentsPerKey = 3
	// maxContentKeys bounds the entries whose contents are kept.
	maxContentKeys = 8
	// maxDeltas bounds the differences that are kept encoded.
	maxDeltas = 4
	// maxContent bounds a content.
	maxContent spoke.ByteSize = 4 << 20
)

var errContentUnknown = eris.New("content is not known")

type (
	// contents holds the newest large values of the directory, for this host and for others. It is safe for
	// concurrent use.
	contents struct {
		mu sync.Mutex
		// keys lists the entries in the order in which they changed, the newest last; byKey holds the contents
		// of each in the same order.
		keys  []string
		byKey map[string][]spoke.DirectoryContent
		// pending counts the transfers under way to this host by content.
		pending map[spoke.ContentID]int
		deltas  []encodedDelta
		// changed is closed when a content is added or a transfer ends.
		changed chan struct{}
	}

	// encodedDelta is the difference between two contents; base is empty for a whole content.
	encodedDelta struct {
		base, id spoke.ContentID
		encoded  []byte
	}
)

func newContents() *contents {
	return &contents{
		byKey: make(map[string][]spoke.DirectoryContent), pending: make(map[spoke.ContentID]int), changed: make(chan struct{}),
	}
}

// add keeps contents, and drops the oldest ones of their entries.
func (c *contents) add(added ...spoke.DirectoryContent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, content := range added {
		if _, isKnown := c.find(content.ID); !isKnown {
			c.append(content)
		}
	}
	c.notify()
}

func (c *contents) append(content spoke.DirectoryContent) {
	kept := slices.Concat(c.byKey[content.Key], []spoke.DirectoryContent{content})
	c.byKey[content.Key] = kept[max(len(kept)-maxContentsPerKey, 0):]
	c.keys = append(slices.DeleteFunc(c.keys, func(key string) bool { return key == content.Key }), content.Key)
	if len(c.keys) > maxContentKeys {
		delete(c.byKey, c.keys[0])
		c.keys = c.keys[1:]
	}
}

func (c *contents) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// get returns a content.
func (c *contents) get(id spoke.ContentID) (spoke.DirectoryContent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(id)
}

func (c *contents) find(id spoke.ContentID) (spoke.DirectoryContent, bool) {
	for _, kept := range c.byKey {
		for _, content := range kept {
			if content.ID == id {
				return content, true
			}
		}
	}
	return spoke.DirectoryContent{}, false
}

// newest returns the newest content of an entry; it returns false if there is none.
func (c *contents) newest(key string) (spoke.DirectoryContent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.byKey[key]
	if len(kept) == 0 {
		return spoke.DirectoryContent{}, false
	}
	return kept[len(kept)-1], true
}

// begin marks a content as being transferred to this host until the returned function is called.
func (c *contents) begin(id spoke.ContentID) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.pending[id]--; c.pending[id] == 0 {
			delete(c.pending, id)
		}
		c.notify()
	}
}

// await returns a content once this host has it. It waits as long as the content is being transferred to this host,
// or up to patience if it is not, and calls keepAlive each interval.
func (c *contents) await(ctx context.Context, id spoke.ContentID, patience, interval time.Duration, keepAlive func()) (spoke.DirectoryContent, error) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	begin := time.Now()
	for {
		c.mu.Lock()
		content, isKnown := c.find(id)
		isPending, changed := c.pending[id] > 0, c.changed
		c.mu.Unlock()
		if isKnown {
			return content, nil
		}
		if !isPending && time.Since(begin) >= patience {
			return spoke.DirectoryContent{}, eris.Wrapf(errContentUnknown, "content %s", id)
		}
		select {
		case <-changed:
		case <-tick.C:
			keepAlive()
		case <-ctx.Done():
			return spoke.DirectoryContent{}, ctx.Err()
		}
	}
}

// encode returns the difference between a content and a base, which is empty for the whole content.
func (c *contents) encode(base, content spoke.DirectoryContent) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.deltas {
		if known.base == base.ID && known.id == content.ID {
			return known.encoded, nil
		}
	}
	// Hosts that ask for the same difference meanwhile wait for this one.
	encoded, err := delta.Encode(base.Value, content.Value)
	if err == nil {
		c.keepDelta(encodedDelta{base.ID, content.ID, encoded})
	}
	return encoded, err
}

// addDelta keeps a difference that another host has sent.
func (c *contents) addDelta(base, id spoke.ContentID, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepDelta(encodedDelta{base, id, encoded})
}

func (c *contents) keepDelta(added encodedDelta) {
	c.deltas = append(c.deltas, added)
	c.deltas = c.deltas[max(len(c.deltas)-maxDeltas, 0):]
}
