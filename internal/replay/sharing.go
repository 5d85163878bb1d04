package replay

// Sharing names a rule that divides the slots of an upstream among entries.
type Sharing string

// The sharings.
const (
	SlotsLent   Sharing = "lent"   // lent on demand by a home entry; what entries run
	SlotsStatic Sharing = "static" // divided equally
	SlotsFree   Sharing = "none"   // no coordination; upstreams refuse requests above their slots
)
