package platform

// Condition says which current version a write demands.
type Condition struct {
	demanded bool
	version  uint64
}

// Any demands nothing of the current version.
func Any() Condition { return Condition{} }

// MustNotExist demands that the key is absent.
func MustNotExist() Condition { return Condition{demanded: true} }

// IfVersion demands that the key has this version.
func IfVersion(version uint64) Condition { return Condition{demanded: true, version: version} }

// Holds reports whether a key of the current version, 0 when absent, meets c.
func (c Condition) Holds(current uint64) bool { return !c.demanded || c.version == current }

// Version returns the demanded version and whether one is demanded.
func (c Condition) Version() (uint64, bool) { return c.version, c.demanded }
