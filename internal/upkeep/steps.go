package upkeep

// Steps is the result of Plan.
type Steps struct {
	Empty     []string // machines whose emptying is to be requested
	TakeDown  []string // machines to be taken down: emptied, up to the wave's MaxDown
	Returned  []string // machines that are back, or no longer listed; they need not stay empty
	Completed bool     // every machine that is still listed has had its upkeep
}
