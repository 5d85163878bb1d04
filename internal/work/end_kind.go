package work

// EndKind tells how a run ended.
type EndKind string

// The ways a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed" // its lease ran out
	EndBroken  EndKind = "broken" // another member of its gang ended
	EndAlone   EndKind = "alone"  // the other members of its gang did not come
)
