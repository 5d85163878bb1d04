package controller

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/maintenance"
)

// saveRecords writes the records at the WriteRate and returns the versions of
// those written, by instance.
func (c *Controller) saveRecords(ctx context.Context, records []maintenance.Record) map[string]uint64 {
	written := make(map[string]uint64, len(records))
	size := max(1, c.WriteRate.Group)
	for len(records) > 0 && ctx.Err() == nil {
		group := records[:min(size, len(records))]
		records = records[len(group):]
		started := c.Clock.Now()
		for i, version := range c.saveGroup(ctx, group) {
			if version != 0 {
				written[group[i].Instance] = version
			}
		}
		if len(records) > 0 {
			c.pause(ctx, started)
		}
	}
	return written
}

// saveGroup writes records concurrently and returns their versions in the same
// order. The version is 0 if a record is not known to be written.
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

// saveRecord returns the version of the written record, or 0 if it is not known
// to be written.
func (c *Controller) saveRecord(ctx context.Context, r maintenance.Record) uint64 {
	version, err := c.Store.SaveRecord(ctx, r)
	if c.countMade(r.Instance, err) == 0 {
		return 0
	}
	return version
}

// pause waits until the gap since the start of a group has passed.
func (c *Controller) pause(ctx context.Context, started time.Time) {
	left := c.WriteRate.Gap - c.Clock.Since(started)
	if left <= 0 {
		return
	}
	select {
	case <-c.Clock.After(left):
	case <-ctx.Done():
	}
}
