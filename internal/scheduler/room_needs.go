package scheduler

import "math"

// roomNeeds is what the tasks need that have waited for room.
type roomNeeds struct {
	held     map[*worker]bool // workers that they need: they stay in the pool, and the offers of offered ones end
	machines float64          // further machines, of any kind
	kinds    []kindShare      // further machines of certain kinds
}

// add adds a need for part of a machine that suits the step, or for several machines. any
// reports whether any machine does.
func (r *roomNeeds) add(step *Step, machines float64, any bool) {
	if any {
		r.machines += machines
		return
	}
	for i := range r.kinds {
		if k := &r.kinds[i]; k.label == step.Label && k.capacity == step.reserved() {
			k.machines += machines
			return
		}
	}
	r.kinds = append(r.kinds, kindShare{label: step.Label, capacity: step.reserved(), machines: machines})
}

// kindNeeds returns the needs for machines of certain kinds, in whole machines.
func (r *roomNeeds) kindNeeds() []KindNeed {
	var needs []KindNeed
	for _, k := range r.kinds {
		needs = append(needs, KindNeed{Label: k.label, Capacity: k.capacity, Count: int(math.Ceil(k.machines))})
	}
	return needs
}
