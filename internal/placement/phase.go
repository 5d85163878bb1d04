package placement

// Phase is how far a job is.
type Phase string

// The phases of a job.
const (
	Queued     Phase = "queued"     // no task of it runs or may start
	Starting   Phase = "starting"   // its task may be ordered; whether it was is not known
	Running    Phase = "running"    // the platform took the order
	Leaving    Phase = "leaving"    // its task is asked to keep its progress and end
	Cancelling Phase = "cancelling" // its task is asked to end
	Finished   Phase = "finished"
	Failed     Phase = "failed"
	Cancelled  Phase = "cancelled"
	Unknown    Phase = "unknown" // it started and nobody can know how it ended
)

// Ended reports whether a job in this phase never changes again.
func (p Phase) Ended() bool {
	return p == Finished || p == Failed || p == Cancelled || p == Unknown
}

// Placed reports whether a job in this phase takes up room on a worker.
func (p Phase) Placed() bool {
	return p == Starting || p == Running || p == Leaving || p == Cancelling
}
