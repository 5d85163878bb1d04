package replay

// Sharing names a way to share slots among entries.
type Sharing string

// The ways.
const (
	SlotsLent   Sharing = "lent"   // the product's own
	SlotsStatic Sharing = "static" // an equal part for each entry
	SlotsFree   Sharing = "none"   // no coordination; upstreams refuse what is too much
)
