package latecalls

// runKey identifies a run on an incarnation.
type runKey struct {
	task    string
	attempt int64
}
