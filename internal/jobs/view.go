package jobs

import (
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// View is this process's copy of the jobs in the store. Each shard of the
// store is in a cell under its own lock and is replaced only by a newer
// version.
type View struct {
	shards  []*shard.Cell[jobstore.Shard]
	changes *shard.Cell[uint64] // incremented by every change
	listed  *shard.Cell[bool]   // the store was listed since the latest MarkStale
}

// NewView returns a view without jobs.
func NewView() *View {
	v := &View{changes: shard.NewCell[uint64](0), listed: shard.NewCell(false)}
	for i := range jobstore.Shards {
		v.shards = append(v.shards, shard.NewCell(jobstore.Shard{Index: i}))
	}
	return v
}

// Put replaces a shard unless the view has this version or a newer one.
func (v *View) Put(s jobstore.Shard) {
	newer := v.shards[s.Index].Update(func(old jobstore.Shard) (jobstore.Shard, bool) { return s, s.Version > old.Version })
	if newer {
		v.notifyChange()
	}
}

// PutListing puts all shards of a listing of the store. When one cannot be
// decoded, none is put.
func (v *View) PutListing(l api.Listing) error {
	shards, err := jobstore.Decode(l)
	if err != nil {
		return err
	}
	for _, s := range shards {
		v.Put(s)
	}
	v.listed.Update(func(bool) (bool, bool) { return true, true })
	v.notifyChange()
	return nil
}

// notifyChange closes the channels that Changed returned.
func (v *View) notifyChange() {
	v.changes.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// PutEvent puts the shard that a change of the store wrote.
func (v *View) PutEvent(e api.Event) error {
	s, ok, err := jobstore.DecodeEvent(e)
	if ok {
		v.Put(s)
	}
	return err
}

// MarkStale makes Listed return false until the store is listed again.
func (v *View) MarkStale() { v.listed.Update(func(bool) (bool, bool) { return false, true }) }

// Listed reports whether the store was listed since the latest MarkStale.
func (v *View) Listed() bool { return v.listed.Get() }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	_, changed := v.changes.Watch()
	return changed
}

// Shard returns the shard with the given index.
func (v *View) Shard(index int) jobstore.Shard { return v.shards[index].Get() }

// Jobs returns the jobs of all shards.
func (v *View) Jobs() []placement.Job {
	var jobs []placement.Job
	for i := range v.shards {
		jobs = append(jobs, v.Shard(i).Jobs...)
	}
	return jobs
}
