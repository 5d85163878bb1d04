package maintenance

// Strategy is the order in which a wave takes instances.
type Strategy string

const (
	// Spread takes from every pool at once whatever its budget allows.
	Spread Strategy = "spread"
	// OneAtATime has one instance away at a time.
	OneAtATime Strategy = "one"
	// RackByRack finishes a rack before it begins the next.
	RackByRack Strategy = "rack"
	// ZoneByZone finishes an availability zone before it begins the next.
	ZoneByZone Strategy = "zone"
)

// Known reports whether s is one of the strategies.
func (s Strategy) Known() bool {
	return s == Spread || s == OneAtATime || s == RackByRack || s == ZoneByZone
}

// group returns what must be finished before another group begins.
func (s Strategy) group(zone, rack string) string {
	switch s {
	case RackByRack:
		return zone + "/" + rack
	case ZoneByZone:
		return zone
	}
	return ""
}
