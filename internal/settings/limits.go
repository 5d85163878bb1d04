package settings

import "time"

// Limits holds the limits on the requests of one entry.
type Limits struct {
	MaxBodyBytes           int64         `yaml:"bodyBytes" validate:"gt=0"`       // largest request body; it is held in memory
	MaxBufferedAnswerBytes int64         `yaml:"wholeBytes" validate:"gt=0"`      // largest answer that is received whole before its status line is sent
	RequestTimeout         time.Duration `yaml:"requestTimeout" validate:"gt=0"`  // of a request whose caller sets no timeout
	InstancesInterval      time.Duration `yaml:"instancesEvery" validate:"gt=0"`  // interval between reads of the platform's list of instances
	ShutdownNotice         time.Duration `yaml:"shutdownNotice" validate:"gte=0"` // time after the entry reports not ready in which it still listens
	ShutdownTimeout        time.Duration `yaml:"shutdownTimeout" validate:"gt=0"` // time for requests in flight to end
}
