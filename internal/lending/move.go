package lending

// Move puts a machine into a pool.
type Move struct {
	Machine string
	Target  string
	Offered bool // by the pool that it leaves; else it comes from standby
}
