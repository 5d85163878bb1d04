package settings

import "time"

// Default values of JobTiming.
const (
	DefaultMaxHold     = 6 * time.Second
	DefaultStop        = 400 * time.Millisecond
	DefaultHolderPause = 3 * time.Second
	DefaultGrace       = 6 * time.Second
	DefaultStartEarly  = 200 * time.Millisecond
	DefaultRetention   = 2 * time.Minute
	DefaultJobLease    = 2 * time.Second
	DefaultMinLease    = time.Second
)

// JobTiming holds the time limits that the platform guarantees or requires.
type JobTiming struct {
	MaxHold     time.Duration `yaml:"maxHold" validate:"gte=1s"`    // longest lease of a run that a worker grants
	Stop        time.Duration `yaml:"stop" validate:"gt=0"`         // longest time that stopping a run takes
	HolderPause time.Duration `yaml:"holderPause" validate:"gte=0"` // required between the orders of two successive machine controllers
	Grace       time.Duration `yaml:"grace" validate:"gt=0"`        // between SIGTERM and SIGKILL
	StartEarly  time.Duration `yaml:"startEarly" validate:"gte=0"`  // how long before its due time a job may start
	Retention   time.Duration `yaml:"retention" validate:"gt=0"`    // how long the state of a finished job can be read
	Lease       time.Duration `yaml:"lease" validate:"gte=500ms"`   // lease of this entry in the store
	MinLease    time.Duration `yaml:"minLease" validate:"gte=0"`    // shortest lease that the store grants
}

// DefaultJobTiming returns the values of the times that a file leaves out.
func DefaultJobTiming() JobTiming {
	return JobTiming{
		MaxHold: DefaultMaxHold, Stop: DefaultStop, HolderPause: DefaultHolderPause, Grace: DefaultGrace,
		StartEarly: DefaultStartEarly, Retention: DefaultRetention, Lease: DefaultJobLease, MinLease: DefaultMinLease,
	}
}
