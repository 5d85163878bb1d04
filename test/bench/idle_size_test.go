package bench

// idleSize is a size at which an idle fleet is measured.
type idleSize struct {
	entries   int
	instances int
	noTags    bool // the platform's list has no entity tags
}
