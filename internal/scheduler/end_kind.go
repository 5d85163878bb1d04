package scheduler

// EndKind tells how a run ended.
type EndKind string

// The ways a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // its lease ran out
	EndGangBroken     EndKind = "broken" // another member of its gang ended
	EndIncompleteGang EndKind = "alone"  // the other members of its gang did not come
)
