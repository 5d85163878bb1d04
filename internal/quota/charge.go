package quota

// Charge is what a run, or a start that may still be carried out, counts for. A charge
// without a team counts for nothing.
type Charge struct {
	Team   string
	Amount Amount
}
