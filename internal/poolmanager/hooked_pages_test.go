package poolmanager

import (
	"context"
	"strings"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// hookedPages is a store that calls a function before it serves a page.
type hookedPages struct {
	*fakeStore
	beforeJobs   func() // nil: none
	beforeStates func() // nil: none
	statesFactor int    // pages of states hold so many times as many items as others; 0: as many
}

// RangePage returns a page after the call of its function.
func (s *hookedPages) RangePage(ctx context.Context, prefix, after string) (store.Page, error) {
	hook, factor := s.beforeJobs, 1
	if prefix == poolstore.StatePrefix(sceneService) {
		hook, factor = s.beforeStates, max(s.statesFactor, 1)
	} else if !strings.HasPrefix(prefix, poolstore.JobsPrefix(sceneService)) || prefix == poolstore.CancelsPrefix(sceneService) {
		hook = nil
	}
	if hook != nil {
		hook()
	}
	page, err := s.fakeStore.RangePage(ctx, prefix, after)
	for range factor - 1 {
		if err != nil || page.Next == "" {
			break
		}
		var more store.Page
		more, err = s.fakeStore.RangePage(ctx, prefix, page.Next)
		page.Items, page.Next = append(page.Items, more.Items...), more.Next
	}
	return page, err
}
