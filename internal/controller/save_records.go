package controller

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/maintenance"
)

// saveRecords writes the records at the controller's pace and returns the
// versions of those that were written, by instance.
func (c *Controller) saveRecords(ctx context.Context, records []maintenance.Record) map[string]uint64 {
	written := make(map[string]uint64, len(records))
	size := max(1, c.WriteRate.Group)
	for len(records) > 0 && ctx.Err() == nil {
		group := records[:min(size, len(records))]
		records = records[len(group):]
		begun := c.Clock.Now()
		for i, version := range c.saveGroup(ctx, group) {
			if version != 0 {
				written[group[i].Instance] = version
			}
		}
		if len(records) > 0 {
			c.pause(ctx, begun)
		}
	}
	return written
}

// saveGroup writes records at the same time and returns their versions in
// their order, 0 for those not known to be written.
func (c *Controller) saveGroup(ctx context.Context, group []maintenance.Record) []uint64 {
	versions := make([]uint64, len(group))
	var writes sync.WaitGroup
	for i, r := range group[1:] {
		writes.Go(func() { versions[i+1] = c.saveRecord(ctx, r) })
	}
	versions[0] = c.saveRecord(ctx, group[0])
	writes.Wait()
	return versions
}

// saveRecord returns the version of the record, or 0 when it is not known to
// be written.
func (c *Controller) saveRecord(ctx context.Context, r maintenance.Record) uint64 {
	version, err := c.Store.SaveRecord(ctx, r)
	if c.made(r.Instance, err) == 0 {
		return 0
	}
	return version
}

// pause waits for what is left of the gap since a group was begun.
func (c *Controller) pause(ctx context.Context, begun time.Time) {
	left := c.WriteRate.Gap - c.Clock.Since(begun)
	if left <= 0 {
		return
	}
	select {
	case <-c.Clock.After(left):
	case <-ctx.Done():
	}
}
