package scheduler

import "cmp"

// adviceCandidate is a worker that a call for a stage's tickets may name.
type adviceCandidate struct {
	id           string
	hasRoom      bool // for a task of the stage
	granted      bool // the stage has, or had, a ticket for it
	refused      bool // it was refused for the stage in an earlier round, or as another incarnation
	history      int  // by the decisions for other steps of the queue
	freeMilliCPU int
}

// compare orders the candidates: those come first that are most likely to have a task started.
func (c adviceCandidate) compare(other adviceCandidate) int {
	return cmp.Or(
		compareBool(other.hasRoom, c.hasRoom), compareBool(other.granted, c.granted), compareBool(c.refused, other.refused),
		cmp.Compare(c.history, other.history), cmp.Compare(other.freeMilliCPU, c.freeMilliCPU), cmp.Compare(c.id, other.id),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
