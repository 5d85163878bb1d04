package inventory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Inventory holds the list of instances in use on this entry. The cell's lock
// guards that a list is only replaced by a newer one.
type Inventory struct {
	cell *shard.Cell[List]
}

// New returns an inventory that has seen no list.
func New() *Inventory { return &Inventory{cell: shard.NewCell(List{})} }

// Get returns the list in use.
func (v *Inventory) Get() List { return v.cell.Get() }

// Watch returns the list in use and a channel closed when its content or
// freshness changes.
func (v *Inventory) Watch() (List, <-chan struct{}) { return v.cell.Watch() }

// Read takes over a list that this entry read from the platform at time now,
// and reports whether its content differs from the one in use.
func (v *Inventory) Read(instances []fleet.Instance, now time.Time) (changed bool) {
	digest := digestOf(instances)
	v.cell.Update(func(old List) (List, bool) {
		stamp := Stamp{Generation: old.Stamp.Generation, Digest: digest, ReadAt: now}
		changed = old.Stamp.Generation == 0 || digest != old.Stamp.Digest
		if changed {
			stamp.Generation++
		}
		return List{Stamp: stamp, Instances: instances}, true
	})
	return changed
}

// Learn takes over a list from a peer if it is newer, and reports whether it
// was.
func (v *Inventory) Learn(list List) bool {
	return v.cell.Update(func(old List) (List, bool) { return list, list.Stamp.Newer(old.Stamp) })
}

// Heard notes the stamp of a peer's list: it may show that the list in use is
// fresher than known. It reports whether the peer's list is newer.
func (v *Inventory) Heard(stamp Stamp) (newer bool) {
	v.cell.Update(func(old List) (List, bool) {
		newer = stamp.Newer(old.Stamp)
		if !stamp.Same(old.Stamp) || !stamp.ReadAt.After(old.Stamp.ReadAt) {
			return old, false
		}
		old.Stamp.ReadAt = stamp.ReadAt
		return old, true
	})
	return newer
}

// digestOf returns a hash of the instances in their order.
func digestOf(instances []fleet.Instance) uint64 {
	d := xxhash.New()
	for _, i := range instances {
		for _, field := range []string{i.ID, string(i.Kind), i.Service, i.Address, i.AvailabilityZone, i.Rack, string(i.State)} {
			_, _ = d.WriteString(field) // never fails
			_, _ = d.Write([]byte{0})
		}
		for _, amount := range []int{i.Resources.MilliCores, i.Resources.MemoryMB, i.Resources.Accelerators} {
			_, _ = d.WriteString(strconv.Itoa(amount))
			_, _ = d.Write([]byte{0})
		}
	}
	return d.Sum64()
}
