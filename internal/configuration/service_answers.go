package configuration

import "time"

// ServiceAnswers is what a team says of one of its services.
type ServiceAnswers struct {
	Name            string        `yaml:"name" validate:"required,label"`
	Runners         int           `yaml:"runners" validate:"gt=0"`
	MayBeAway       int           `yaml:"mayBeAway" validate:"gte=0"`                 // runners that nobody misses on an ordinary day
	AtOncePerRunner int           `yaml:"atOncePerRunner" validate:"gt=0"`            // requests one runner works on at once
	Connections     int           `yaml:"connections" validate:"gt=0"`                // connections one runner accepts
	AnswerWithin    time.Duration `yaml:"answerWithin" validate:"gt=0"`               // when people give up
	MustNotRepeat   []string      `yaml:"mustNotRepeat" validate:"dive,startswith=/"` // paths whose work must be done once
}
