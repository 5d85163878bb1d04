package maintenance

// WaveState is the state of a wave, set by an operator or at the end of the
// wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
	WaveDone      WaveState = "done"
)
