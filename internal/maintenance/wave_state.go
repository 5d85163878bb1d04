package maintenance

// WaveState is what an operator, or the end of the work, made of a wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
	WaveDone      WaveState = "done"
)
