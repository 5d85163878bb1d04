package maintenance

// Strategy is the order in which a wave takes instances.
type Strategy string

const (
	// Spread takes instances of all pools at once, as far as their budgets
	// allow.
	Spread Strategy = "spread"
	// OneAtATime has one instance out of service at a time.
	OneAtATime Strategy = "one"
	// RackByRack finishes a rack before it starts the next one.
	RackByRack Strategy = "rack"
	// ZoneByZone finishes an availability zone before it starts the next one.
	ZoneByZone Strategy = "zone"
)

// Known reports whether s is one of the strategies.
func (s Strategy) Known() bool {
	return s == Spread || s == OneAtATime || s == RackByRack || s == ZoneByZone
}

// group returns the name of the rack or zone that the wave finishes before the
// next one, or an empty string for strategies without groups.
func (s Strategy) group(zone, rack string) string {
	switch s {
	case RackByRack:
		return zone + "/" + rack
	case ZoneByZone:
		return zone
	}
	return ""
}
