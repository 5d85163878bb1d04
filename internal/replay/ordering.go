package replay

// Ordering names a rule that decides which queued request is served next.
type Ordering string

// The orderings.
const (
	OrderFair      Ordering = "fair"       // fair shares by class and team; what entries run
	OrderFirstCome Ordering = "first-come" // in order of arrival
	OrderPriority  Ordering = "priority"   // strict priority of classes, in order of arrival within each
)
