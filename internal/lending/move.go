package lending

// Move is an order to move a machine to the pool Target.
type Move struct {
	Machine string
	Target  string
}
