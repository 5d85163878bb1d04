package maintenance

// ReservationKind is the purpose for which an instance is taken out of service.
type ReservationKind string

const (
	// ForReboot drains, reboots and returns an instance, for a wave.
	ForReboot ReservationKind = "reboot"
	// ForDrain drains an instance until an operator undrains it.
	ForDrain ReservationKind = "drain"
	// ForMove moves an instance to another pool permanently.
	ForMove ReservationKind = "move"
	// ForLoan lends an instance to another pool.
	ForLoan ReservationKind = "loan"
	// ForReturn makes a drained instance serve its pool again.
	ForReturn ReservationKind = "return"
)
