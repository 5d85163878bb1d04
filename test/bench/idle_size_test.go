package bench

// idleSize is a fleet size that is measured.
type idleSize struct {
	entries   int
	instances int
	noTags    bool // the platform sends no entity tag with its list
}
