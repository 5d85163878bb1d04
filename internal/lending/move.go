package lending

// Move puts a machine into a pool.
type Move struct {
	Machine string
	Target  string
}
