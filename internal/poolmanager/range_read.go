package poolmanager

import (
	"context"
	"time"

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
}

// pageTimeout bounds the read of one page. A page holds up to one megabyte, which
// takes about one second on the slowest link.
const pageTimeout = 3 * time.Second

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
	limited, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	page, err := s.RangePage(limited, r.prefix, r.after)
	if err != nil {
		return err
	}
	if r.after == "" {
		r.revision = page.Revision
	}
	r.items = append(r.items, page.Items...)
	r.after, r.complete = page.Next, page.Next == ""
	return nil
}
