package maintenance

// Phase is how far an instance is between serving its pool and being away.
type Phase string

const (
	// Serving instances receive work of their pool.
	Serving Phase = "serving"
	// Leaving instances receive no new work; not every entry knows it yet.
	Leaving Phase = "leaving"
	// Drained instances receive no work from any entry.
	Drained Phase = "drained"
	// Rebooting instances were drained and are being rebooted.
	Rebooting Phase = "rebooting"
)
