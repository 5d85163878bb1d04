package slots

// Handover is what a settled home passes to its successor: an upper bound of
// everything it has lent.
type Handover struct {
	Accounts []Balance
}
