package scheduler_test

// overlapKnobs switch the classes of trouble on. Without any, owners follow
// each other, calls and answers are lost or late, workers are cut off and die.
type overlapKnobs struct {
	Overlap    bool // an owner works on after the ownership was taken away; watches are slow
	Chain      bool // with it, the next owner is followed within the same time
	Rebirth    bool // workers start again under their own id, and the pool is told late
	LateWrites bool // writes of lost answers are carried out later
	StaleList  bool // the list of machines is old when it arrives
}
