package inventory

import (
	"slices"
	"strings"

	"persimmonbay/internal/fleet"
)

// Difference is what makes one list of instances out of an earlier one.
type Difference struct {
	Base    Stamp            // of the earlier list
	Stamp   Stamp            // of the list that results
	Tag     string           // of the list that results
	Changed []fleet.Instance // new ones included
	Removed []string         // IDs
}

// differenceOf compares two lists, both ordered by ID.
func differenceOf(base, list List) Difference {
	d := Difference{Base: base.Stamp, Stamp: list.Stamp, Tag: list.Tag}
	left := make(map[string]fleet.Instance, len(base.Instances))
	for _, i := range base.Instances {
		left[i.ID] = i
	}
	for _, i := range list.Instances {
		if old, ok := left[i.ID]; !ok || old != i {
			d.Changed = append(d.Changed, i)
		}
		delete(left, i.ID)
	}
	for id := range left {
		d.Removed = append(d.Removed, id)
	}
	slices.Sort(d.Removed)
	return d
}

// apply returns the list that results from base, and false when that is not
// the one that was meant.
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

// ordered returns the instances ordered by ID, in a copy unless they are.
func ordered(instances []fleet.Instance) []fleet.Instance {
	byID := func(a, b fleet.Instance) int { return strings.Compare(a.ID, b.ID) }
	if slices.IsSortedFunc(instances, byID) {
		return instances
	}
	return slices.SortedStableFunc(slices.Values(instances), byID)
}
