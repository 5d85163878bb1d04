package test

// waveResults are the results of the callers' requests during a wave.
type waveResults struct {
	completed int
	failures  []string
}
