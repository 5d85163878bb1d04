package main

// taskName is the name of a task, ID.K.STEP.INDEX.
type taskName struct {
	job  string
	step int
	gang string // ID.K.STEP
}
