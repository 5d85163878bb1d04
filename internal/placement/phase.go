package placement

// Phase is the state of a job in its life cycle.
type Phase string

// The phases of a job.
const (
	Queued     Phase = "queued"     // it has no task that runs or may still start
	Starting   Phase = "starting"   // the start of its task may have been ordered
	Running    Phase = "running"    // the platform has reported its task as running
	Leaving    Phase = "leaving"    // its task is to be checkpointed and to end
	Cancelling Phase = "cancelling" // its task is to be withdrawn
	Finished   Phase = "finished"
	Failed     Phase = "failed"
	Cancelled  Phase = "cancelled"
	Unknown    Phase = "unknown" // its task may have run, and its outcome cannot be determined
)

// Ended reports whether a job in this phase never changes again.
func (p Phase) Ended() bool {
	return p == Finished || p == Failed || p == Cancelled || p == Unknown
}

// Placed reports whether a job in this phase may use resources of a worker.
func (p Phase) Placed() bool {
	return p == Starting || p == Running || p == Leaving || p == Cancelling
}
