package scheduler

// EndKind is how a run ended. The values are part of the worker's protocol.
type EndKind string

// The ways a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the lease of the run expired
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndIncompleteGang EndKind = "alone"  // the other members of the gang were not started
)
