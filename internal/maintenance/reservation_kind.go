package maintenance

// ReservationKind says what a reserved instance is taken out of service for.
type ReservationKind string

const (
	// ForReboot drains, reboots and returns an instance, for a wave.
	ForReboot ReservationKind = "reboot"
	// ForDrain drains an instance until an operator undrains it.
	ForDrain ReservationKind = "drain"
	// ForMove gives an instance to another pool for good.
	ForMove ReservationKind = "move"
	// ForLoan lends an instance to another pool.
	ForLoan ReservationKind = "loan"
	// ForReturn brings a drained instance back into its pool.
	ForReturn ReservationKind = "return"
)
