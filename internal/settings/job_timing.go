package settings

import "time"

// Default values of JobTiming.
const (
	DefaultMaxRunLease     = 6 * time.Second
	DefaultMaxStopTime     = 400 * time.Millisecond
	DefaultControllerPause = 3 * time.Second
	DefaultGrace           = 6 * time.Second
	DefaultStartEarly      = 200 * time.Millisecond
	DefaultRetention       = 2 * time.Minute
	DefaultJobLease        = 2 * time.Second
	DefaultMinLease        = time.Second
)

// JobTiming holds the time limits that the platform guarantees or requires.
type JobTiming struct {
	MaxRunLease     time.Duration `yaml:"maxHold" validate:"gte=1s"`    // longest lease of a run that a worker grants
	MaxStopTime     time.Duration `yaml:"stop" validate:"gt=0"`         // longest time that stopping a run takes
	ControllerPause time.Duration `yaml:"holderPause" validate:"gte=0"` // required between the orders of two successive machine controllers
	Grace           time.Duration `yaml:"grace" validate:"gt=0"`        // between SIGTERM and SIGKILL
	StartEarly      time.Duration `yaml:"startEarly" validate:"gte=0"`  // how long before its due time a job may start
	Retention       time.Duration `yaml:"retention" validate:"gt=0"`    // how long the state of a finished job can be read
	Lease           time.Duration `yaml:"lease" validate:"gte=500ms"`   // lease of this entry in the store
	MinLease        time.Duration `yaml:"minLease" validate:"gte=0"`    // shortest lease that the store grants
}

// DefaultJobTiming returns the values of the times that a file leaves out.
func DefaultJobTiming() JobTiming {
	return JobTiming{
		MaxRunLease: DefaultMaxRunLease, MaxStopTime: DefaultMaxStopTime, ControllerPause: DefaultControllerPause, Grace: DefaultGrace,
		StartEarly: DefaultStartEarly, Retention: DefaultRetention, Lease: DefaultJobLease, MinLease: DefaultMinLease,
	}
}
