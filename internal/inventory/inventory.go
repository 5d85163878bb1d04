package inventory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Inventory holds the list of instances in use on this entry and up to maxEarlier
// earlier ones. Lists are compared and replaced under the cell's lock, so a list is
// replaced only by a newer one.
type Inventory struct {
	cell *shard.Cell[history]
}

// New returns an inventory without a list.
func New() *Inventory { return &Inventory{cell: shard.NewCell(history{})} }

// Get returns the list in use, ordered by ID.
func (v *Inventory) Get() List { return v.cell.Get().current }

// Watch returns the list in use and a channel closed when its content or
// freshness changes.
func (v *Inventory) Watch() (List, <-chan struct{}) {
	h, changed := v.cell.Watch()
	return h.current, changed
}

// Listing returns the list in use with the tag under which the platform returned it.
func (v *Inventory) Listing() fleet.Listing {
	l := v.Get()
	return fleet.Listing{Tag: l.Tag, Instances: l.Instances}
}

// Read replaces the list by one that this entry read from the platform at now, and
// reports whether the content differs from the one in use.
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

// Update replaces the list by one from a peer if that is newer, and reports whether
// it was.
func (v *Inventory) Update(list List) bool {
	return v.cell.Update(func(old history) (history, bool) {
		return old.replaced(list), list.Stamp.Newer(old.current.Stamp)
	})
}

// ChangesSince returns the changes from the list with this stamp to the one in use,
// or false if that list is not retained.
func (v *Inventory) ChangesSince(stamp Stamp) (Difference, bool) {
	h := v.cell.Get()
	base, ok := h.find(stamp)
	if !ok || stamp.Generation == 0 {
		return Difference{}, false
	}
	return differenceOf(base, h.current), true
}

// ApplyChanges applies changes from a peer, if the result is newer. It returns false
// if the peer must send its full list: the changes are not based on the list in
// use, or they do not result in the list that the peer has.
func (v *Inventory) ApplyChanges(d Difference) (applicable bool) {
	list, ok := d.apply(v.Get())
	if ok {
		v.Update(list)
	}
	return ok
}

// RecordStamp records the stamp of a peer's list, which may show that the list in
// use was read more recently than known here. It reports whether the peer's list is
// newer.
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

// digestOf returns a hash of the instances, which depends on their order.
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
