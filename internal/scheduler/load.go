package scheduler

// Load measures a pool's work in machines of its usual size.
type Load struct {
	Used        float64 // taken by what runs
	Waiting     float64 // that what could start now would take
	Backlog     float64 // machine-seconds of all that is not done
	Usable      float64 // usable machines
	LongRunning float64 // taken by tasks that last
	Expected    float64 // that what surely comes in keeps busy
	Widest      int     // machines that the widest step needs because it limits tasks on one
}
