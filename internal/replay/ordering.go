package replay

// Ordering names a way to decide who goes next.
type Ordering string

// The ways.
const (
	OrderFair      Ordering = "fair"       // the product's own
	OrderFirstCome Ordering = "first-come" // first come, first served
	OrderPriority  Ordering = "priority"   // strict priority of the classes
)
