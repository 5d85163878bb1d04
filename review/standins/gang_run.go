package main

// gangRun is one attempt of a gang.
type gangRun struct {
	there  map[string]bool // members that have started
	broken bool            // a member has ended otherwise than done
}
