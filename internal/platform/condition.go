package platform

// Condition is the version that a key must have for a write to take effect. The
// zero Condition permits any.
type Condition struct {
	required bool
	version  uint64
}

// Any permits any current version, and an absent key.
func Any() Condition { return Condition{} }

// MustNotExist requires that the key is absent.
func MustNotExist() Condition { return Condition{required: true} }

// IfVersion requires that the key has this version; version 0 means absent.
func IfVersion(version uint64) Condition { return Condition{required: true, version: version} }

// Holds reports whether a key with the version current (0: absent) meets c.
func (c Condition) Holds(current uint64) bool { return !c.required || c.version == current }

// Version returns the required version and whether c requires one.
func (c Condition) Version() (uint64, bool) { return c.version, c.required }
