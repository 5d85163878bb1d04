package main

// lateStart is a start after ends done.
type lateStart struct {
	text string
	ends []*taskEnd
}
