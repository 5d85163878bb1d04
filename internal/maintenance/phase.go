package maintenance

// Phase is the stage of an instance between serving its pool and being out of
// service.
type Phase string

const (
	// Serving instances receive work of their pool.
	Serving Phase = "serving"
	// Leaving instances receive no new work from entries that know of the
	// phase; some entries may not yet.
	Leaving Phase = "leaving"
	// Drained instances receive no work from any entry.
	Drained Phase = "drained"
	// Rebooting instances were drained and are being rebooted.
	Rebooting Phase = "rebooting"
)
