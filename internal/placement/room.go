package placement

import "persimmonbay/internal/fleet"

// room is what a planner knows of one worker.
type room struct {
	worker   *Worker
	takes    bool            // new tasks
	free     fleet.Resources // now
	coming   fleet.Resources // once all that leaves has left, less what waits for it
	occupied []occupant
}

// fits reports whether size has room now that no job waits for.
func (r *room) fits(size fleet.Resources) bool {
	return size.Within(r.free) && size.Within(r.coming)
}

func (r *room) take(size fleet.Resources) {
	r.free, r.coming = r.free.Minus(size), r.coming.Minus(size)
}
