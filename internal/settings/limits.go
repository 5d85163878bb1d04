package settings

import "time"

// Limits bounds what one entry takes on.
type Limits struct {
	BodyBytes       int64         `yaml:"bodyBytes" validate:"gt=0"`       // of one request, held in memory
	WholeBytes      int64         `yaml:"wholeBytes" validate:"gt=0"`      // of an answer checked whole before its status line is sent
	RequestTimeout  time.Duration `yaml:"requestTimeout" validate:"gt=0"`  // when the caller names none
	InstancesEvery  time.Duration `yaml:"instancesEvery" validate:"gt=0"`  // between two reads of the platform's list
	ShutdownNotice  time.Duration `yaml:"shutdownNotice" validate:"gte=0"` // not ready but still listening
	ShutdownTimeout time.Duration `yaml:"shutdownTimeout" validate:"gt=0"` // for requests in flight
}
