package slots

// Handover is what a settled home passes to its successor: for each holder, an
// upper bound of the slots that are lent to it.
type Handover struct {
	Accounts []Balance
}
