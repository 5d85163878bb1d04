package upkeep

// Steps is what is to be done for a wave now.
type Steps struct {
	Ask       []string // machines to be emptied
	Order     []string // machines to be taken down: empty, and within the bound
	Back      []string // machines that are back, or gone; they need not stay empty
	Completed bool     // every machine that stays has had its upkeep
}
