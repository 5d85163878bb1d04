package scheduler

import "slices"

// KindNeed is a need for further machines of a certain kind.
type KindNeed struct {
	Label    string    // that the machine must have; empty: any
	Capacity Resources // that the machine must have at least
	Count    int       // number of machines
}

// Suits reports whether a machine with the given labels and capacity is of that kind.
func (k *KindNeed) Suits(labels []string, capacity Resources) bool {
	return (k.Label == "" || slices.Contains(labels, k.Label)) && k.Capacity.Fits(capacity)
}
