package main

type taskRun struct {
	attempt int
	life    int
	step    phase
	name    taskName
	waits   bool // for the other members of its gang
}
