package latecalls

// disruption is what happens to the entry that owns the pool.
type disruption string

const (
	kills      disruption = "kill"      // SIGKILL, and started again
	stops      disruption = "stop"      // SIGSTOP and SIGCONT
	terminates disruption = "terminate" // SIGTERM, and started again
	spares     disruption = "none"
)
