package inventory

import (
	"slices"
	"strings"

	"persimmonbay/internal/fleet"
)

// Difference is the changes from an earlier list of instances to a later one.
type Difference struct {
	Base    Stamp            // of the earlier list
	Stamp   Stamp            // of the list that results
	Tag     string           // of the list that results
	Changed []fleet.Instance // changed and added ones
	Removed []string         // IDs of removed ones
}

// differenceOf returns the changes from base to list, both ordered by ID.
func differenceOf(base, list List) Difference {
	d := Difference{Base: base.Stamp, Stamp: list.Stamp, Tag: list.Tag}
	remaining := make(map[string]fleet.Instance, len(base.Instances))
	for _, i := range base.Instances {
		remaining[i.ID] = i
	}
	for _, i := range list.Instances {
		if old, ok := remaining[i.ID]; !ok || old != i {
			d.Changed = append(d.Changed, i)
		}
		delete(remaining, i.ID)
	}
	for id := range remaining {
		d.Removed = append(d.Removed, id)
	}
	slices.Sort(d.Removed)
	return d
}

// apply returns the list that results from base, or false if base is not the earlier
// list or the result does not have the digest in d.Stamp.
func (d Difference) apply(base List) (List, bool) {
	if !base.Stamp.Same(d.Base) {
		return List{}, false
	}
	drop := make(map[string]bool, len(d.Changed)+len(d.Removed))
	for _, i := range d.Changed {
		drop[i.ID] = true
	}
	for _, id := range d.Removed {
		drop[id] = true
	}
	list := List{Stamp: d.Stamp, Tag: d.Tag, Instances: make([]fleet.Instance, 0, len(base.Instances)+len(d.Changed))}
	for _, i := range base.Instances {
		if !drop[i.ID] {
			list.Instances = append(list.Instances, i)
		}
	}
	list.Instances = ordered(append(list.Instances, d.Changed...))
	return list, digestOf(list.Instances) == d.Stamp.Digest
}

// ordered returns the instances ordered by ID. It copies the slice unless it is
// ordered already.
func ordered(instances []fleet.Instance) []fleet.Instance {
	byID := func(a, b fleet.Instance) int { return strings.Compare(a.ID, b.ID) }
	if slices.IsSortedFunc(instances, byID) {
		return instances
	}
	return slices.SortedStableFunc(slices.Values(instances), byID)
}
