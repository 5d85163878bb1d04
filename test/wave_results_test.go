package test

// waveResults is what the callers saw during a wave.
type waveResults struct {
	completed int
	failures  []string
}
