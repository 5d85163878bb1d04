package lending

// Steps is what is to be done for the pools now.
type Steps struct {
	Moves   []Move
	Recalls map[string]int // machines that a pool has to give up, though it uses them
}
