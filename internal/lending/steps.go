package lending

// Steps is the result of Plan.
type Steps struct {
	Moves   []Move
	Recalls map[string]int // by pool: machines that it has to give up although it uses them
}
