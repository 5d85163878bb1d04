package inventory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Inventory holds the list of instances in use on this entry and a few earlier
// ones. The cell's lock guards that a list is only replaced by a newer one.
type Inventory struct {
	cell *shard.Cell[history]
}

// New returns an inventory that has seen no list.
func New() *Inventory { return &Inventory{cell: shard.NewCell(history{})} }

// Get returns the list in use, ordered by ID.
func (v *Inventory) Get() List { return v.cell.Get().current }

// Watch returns the list in use and a channel closed when its content or
// freshness changes.
func (v *Inventory) Watch() (List, <-chan struct{}) {
	h, changed := v.cell.Watch()
	return h.current, changed
}

// Listing returns the list in use as the platform showed it.
func (v *Inventory) Listing() fleet.Listing {
	l := v.Get()
	return fleet.Listing{Tag: l.Tag, Instances: l.Instances}
}

// Read takes over a list that this entry read from the platform at time now,
// and reports whether its content differs from the one in use.
func (v *Inventory) Read(listing fleet.Listing, now time.Time) (changed bool) {
	list := List{Tag: listing.Tag, Instances: ordered(listing.Instances)}
	digest := digestOf(list.Instances)
	v.cell.Update(func(old history) (history, bool) {
		list.Stamp = Stamp{Generation: old.current.Stamp.Generation, Digest: digest, ReadAt: now}
		changed = list.Stamp.Generation == 0 || digest != old.current.Stamp.Digest
		if !changed {
			old.current = list
			return old, true
		}
		list.Stamp.Generation++
		return old.replaced(list), true
	})
	return changed
}

// Update takes over a list from a peer if it is newer, and reports whether it
// was.
func (v *Inventory) Update(list List) bool {
	return v.cell.Update(func(old history) (history, bool) {
		return old.replaced(list), list.Stamp.Newer(old.current.Stamp)
	})
}

// ChangesSince returns what changed from the list with this stamp to the one in use,
// and false when that list is not known here.
func (v *Inventory) ChangesSince(stamp Stamp) (Difference, bool) {
	h := v.cell.Get()
	base, ok := h.find(stamp)
	if !ok || stamp.Generation == 0 {
		return Difference{}, false
	}
	return differenceOf(base, h.current), true
}

// ApplyChanges takes over what a peer tells has changed, if the result is
// newer. It reports false when the peer must tell its whole list: the list in
// use is not the one that the changes are of, or they do not result in the
// list that the peer has.
func (v *Inventory) ApplyChanges(d Difference) (understood bool) {
	list, ok := d.apply(v.Get())
	if ok {
		v.Update(list)
	}
	return ok
}

// RecordStamp notes the stamp of a peer's list: it may show that the list in use is
// fresher than known. It reports whether the peer's list is newer.
func (v *Inventory) RecordStamp(stamp Stamp) (newer bool) {
	v.cell.Update(func(old history) (history, bool) {
		known := old.current.Stamp
		newer = stamp.Newer(known)
		if !stamp.Same(known) || !stamp.ReadAt.After(known.ReadAt) {
			return old, false
		}
		known.ReadAt = stamp.ReadAt
		return old.aged(known), true
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
