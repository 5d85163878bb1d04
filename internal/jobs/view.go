package jobs

import (
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// View is what this process knows of the jobs in the store. Each shard of the
// store is in a cell under its own lock and is only replaced by a newer
// version.
type View struct {
	shards  []*shard.Cell[jobstore.Shard]
	changes *shard.Cell[uint64] // rises with every change
	listed  *shard.Cell[bool]   // the store was read since the latest Forget
}

// NewView returns a view without jobs.
func NewView() *View {
	v := &View{changes: shard.NewCell[uint64](0), listed: shard.NewCell(false)}
	for i := range jobstore.Shards {
		v.shards = append(v.shards, shard.NewCell(jobstore.Shard{Index: i}))
	}
	return v
}

// Put takes a shard over unless a newer version is known.
func (v *View) Put(s jobstore.Shard) {
	newer := v.shards[s.Index].Update(func(old jobstore.Shard) (jobstore.Shard, bool) { return s, s.Version > old.Version })
	if newer {
		v.touch()
	}
}

// PutListing takes all shards of the store over.
func (v *View) PutListing(l api.Listing) error {
	shards, err := jobstore.Decode(l)
	if err != nil {
		return err
	}
	for _, s := range shards {
		v.Put(s)
	}
	v.listed.Update(func(bool) (bool, bool) { return true, true })
	v.touch()
	return nil
}

// touch wakes those who wait for a change.
func (v *View) touch() {
	v.changes.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// PutEvent takes one change of the store over.
func (v *View) PutEvent(e api.Event) error {
	s, ok, err := jobstore.DecodeEvent(e)
	if ok {
		v.Put(s)
	}
	return err
}

// Forget notes that the view may be behind until the store is read again.
func (v *View) Forget() { v.listed.Update(func(bool) (bool, bool) { return false, true }) }

// Listed reports whether the store was read since the latest Forget.
func (v *View) Listed() bool { return v.listed.Get() }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	_, changed := v.changes.Watch()
	return changed
}

// Shard returns one shard.
func (v *View) Shard(index int) jobstore.Shard { return v.shards[index].Get() }

// Jobs returns all jobs.
func (v *View) Jobs() []placement.Job {
	var jobs []placement.Job
	for i := range v.shards {
		jobs = append(jobs, v.Shard(i).Jobs...)
	}
	return jobs
}
