package edge

import (
	"context"
	"errors"
	"time"

	"magnoliaspoke.example/spoke"
)

// catchUpTime is how long this host may lag behind the revision of a peer before it watches the
// directory again.
const catchUpTime = 250 * time.Millisecond

// watchOnce waits for changes; the wait is cut short when a peer reports a later revision. The call after that has its
// full time, since a slow directory would answer none otherwise.
func (f *follower) watchOnce(ctx context.Context, revision spoke.Revision, wait time.Duration) (change spoke.DirectoryChange, isCut bool, err error) {
	if f.isBehind {
		change, err = f.directory.Watch(ctx, revision, wait, nil)
		return change, false, err
	}
	done, end := make(chan struct{}), make(chan struct{})
	cut := make(chan bool, 1)
	go func() { cut <- f.awaitNewer(revision, done, end) }()
	change, err = f.directory.Watch(ctx, revision, wait, end)
	close(done)
	return change, <-cut && err != nil && !errors.Is(err, spoke.ErrHistoryGone), err
}

// awaitNewer closes end when a peer reports a later revision; it returns whether it did.
func (f *follower) awaitNewer(revision spoke.Revision, done <-chan struct{}, end chan<- struct{}) bool {
	for {
		select {
		case ahead := <-f.newer:
			if ahead > revision {
				close(end)
				return true
			}
		case <-done:
			return false
		}
	}
}

// receiveView handles the directory view of a peer. If this host is still behind it after
// catchUpTime, it watches the directory itself at once. A view in a load report proves nothing: how long the report was
// under way is not known, and the view may rest on one of this host.
func (f *follower) receiveView(view spoke.DirectoryView) {
	if uint64(view.Revision) <= f.conf.revision.Load() || !f.isCatchingUp.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(catchUpTime, func() {
		f.isCatchingUp.Store(false)
		if uint64(view.Revision) > f.conf.revision.Load() {
			select {
			case f.newer <- view.Revision:
			default:
			}
		}
	})
}
