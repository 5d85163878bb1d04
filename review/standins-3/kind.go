package main

// kind is what a life of a runner can do.
type kind struct {
	label string
	cpu   int // thousandths of a core
	memMB int
}
