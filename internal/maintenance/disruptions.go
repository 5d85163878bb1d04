package maintenance

import "slices"

// Disruptions is the single record of all reservations. Every reservation
// replaces the whole record by compare-and-swap, so that two controllers never
// spend the same budget twice.
type Disruptions struct {
	Reservations []Reservation `json:"reservations"` // ordered by instance
	Version      uint64        `json:"-"`            // of the record in the store; 0: not stored yet
}

// Find returns the reservation of an instance.
func (d Disruptions) Find(instance string) (Reservation, bool) {
	i, found := d.search(instance)
	if !found {
		return Reservation{}, false
	}
	return d.Reservations[i], true
}

// With returns a copy of d in which r is added or replaces the reservation of
// the same instance.
func (d Disruptions) With(r Reservation) Disruptions {
	i, found := d.search(r.Instance)
	d.Reservations = slices.Clone(d.Reservations)
	if found {
		d.Reservations[i] = r
		return d
	}
	d.Reservations = slices.Insert(d.Reservations, i, r)
	return d
}

// Without returns a copy of d without the instance's reservation.
func (d Disruptions) Without(instance string) Disruptions {
	i, found := d.search(instance)
	if found {
		d.Reservations = slices.Delete(slices.Clone(d.Reservations), i, i+1)
	}
	return d
}

func (d Disruptions) search(instance string) (int, bool) {
	return slices.BinarySearchFunc(d.Reservations, instance, func(r Reservation, id string) int {
		switch {
		case r.Instance < id:
			return -1
		case r.Instance > id:
			return 1
		}
		return 0
	})
}
