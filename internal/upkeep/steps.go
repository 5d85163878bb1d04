package upkeep

// Steps is what is to be done for a wave now.
type Steps struct {
	Empty     []string // machines to be emptied
	TakeDown  []string // machines to be taken down: empty, and within the bound
	Returned  []string // machines that are back, or gone; they need not stay empty
	Completed bool     // every machine that stays has had its upkeep
}
