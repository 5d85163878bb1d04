package scheduler

// fit tells how well a task would stand on a worker.
type fit struct {
	avoided bool // the task failed there last
	far     bool // its data is in another rack
	apart   bool // the step's other tasks run in another rack
	failing int  // jobs that failed there since the last task done
	left    int  // thousandths of a core that stay free
	id      string
}

// before reports whether f is better than o: among equals the fuller worker,
// so that others stay free for large tasks.
func (f fit) before(o fit) bool {
	switch {
	case f.avoided != o.avoided:
		return !f.avoided
	case f.far != o.far:
		return !f.far
	case f.apart != o.apart:
		return !f.apart
	case f.failing != o.failing:
		return f.failing < o.failing
	case f.left != o.left:
		return f.left < o.left
	}
	return f.id < o.id
}
