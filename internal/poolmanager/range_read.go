package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// rangeRead reads all items under a prefix. It keeps the pages that it has read when
// one fails, so that a read of any size ends however often pages fail. One goroutine at
// a time uses it.
type rangeRead struct {
	prefix   string
	items    []store.Item
	revision int64  // of the store, current before the first page was read
	after    string // key after which the next page begins
	complete bool
	last     string        // items after this key are left for later pages; empty: none are
	largest  int           // items in the largest page so far
	timeout  time.Duration // of the next page; 0: firstPageTimeout
}

const (
	// firstPageTimeout bounds the read of one page. A page holds up to one megabyte,
	// which takes about one second on the slowest link. Each page that does not arrive in
	// time doubles the bound, up to maxPageTimeout: it is read from its beginning again.
	firstPageTimeout = 3 * time.Second
	maxPageTimeout   = 24 * time.Second
)

// finish reads the pages that are left. After an error, the next call goes on with the
// page that failed.
func (r *rangeRead) finish(ctx context.Context, s store.Store) error {
	for !r.complete {
		if err := r.readPage(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (r *rangeRead) readPage(ctx context.Context, s store.Store) error {
	if r.timeout == 0 {
		r.timeout = firstPageTimeout
	}
	limited, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	page, err := s.RangePage(limited, r.prefix, r.after)
	if problem.Is(err, problem.Timeout) {
		r.timeout = min(2*r.timeout, maxPageTimeout)
	}
	if err != nil {
		return err
	}
	if r.after == "" {
		r.revision = page.Revision
	}
	r.largest = max(r.largest, len(page.Items))
	if r.last != "" {
		r.keepUpToLast(page.Items)
		return nil
	}
	r.items = append(r.items, page.Items...)
	r.after, r.complete = page.Next, page.Next == ""
	return nil
}

// keepUpToLast keeps the items up to the last key. Items that are written after it
// meanwhile are still to be read, so that the read is not complete.
func (r *rangeRead) keepUpToLast(items []store.Item) {
	for i := range items {
		if items[i].Key > r.last {
			break
		}
		r.items, r.after = append(r.items, items[i]), max(r.after, items[i].Key)
	}
}
