package entry

import (
	"context"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/request"
	"persimmonbay/internal/shard"
)

// workCounter counts the requests of this entry that are in progress on each
// instance, in shards by instance.
type workCounter struct {
	counts *shard.Map[string, int]
}

func newWorkCounter() *workCounter { return &workCounter{counts: shard.NewMap[string, int]()} }

// wrap returns a dispatcher that counts what next places, and calls before
// ahead of each placement.
func (c *workCounter) wrap(next request.Dispatcher, before func()) request.Dispatcher {
	return &countedDispatcher{next: next, work: c, before: before}
}

// at returns the number of requests in progress on an instance.
func (c *workCounter) at(instance string) int {
	n, _ := c.counts.Get(instance)
	return n
}

func (c *workCounter) add(instance string, change int) {
	c.counts.Update(instance, func(n int, _ bool) (int, bool) { return n + change, n+change > 0 })
}

var _ request.Dispatcher = (*countedDispatcher)(nil)

// Acquire implements request.Dispatcher.
func (d *countedDispatcher) Acquire(ctx context.Context, r *request.Request, service *configuration.Service, excluded []string) (request.Placement, error) {
	d.before()
	placement, err := d.next.Acquire(ctx, r, service, excluded)
	if err != nil {
		return placement, err
	}
	d.work.add(placement.Instance.ID, 1)
	release := placement.Release
	placement.Release = func(f request.Feedback) {
		d.work.add(placement.Instance.ID, -1)
		release(f)
	}
	return placement, nil
}
