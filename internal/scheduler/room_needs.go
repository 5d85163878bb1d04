package scheduler

// roomNeeds is what the tasks need that have waited for room.
type roomNeeds struct {
	held     map[*worker]bool // workers that they need: they stay in the pool, and the offers of offered ones end
	machines int              // further machines, of any kind
	kinds    []KindNeed       // further machines of certain kinds
}

// addKind adds a need for n machines of the kind that the step needs.
func (r *roomNeeds) addKind(step *Step, n int) {
	for i := range r.kinds {
		if k := &r.kinds[i]; k.Label == step.Label && k.Capacity == step.reserved() {
			k.Count += n
			return
		}
	}
	r.kinds = append(r.kinds, KindNeed{Label: step.Label, Capacity: step.reserved(), Count: n})
}
