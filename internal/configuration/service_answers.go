package configuration

import "time"

// ServiceAnswers holds the answers about one service. A runner is one instance
// of the service.
type ServiceAnswers struct {
	Name            string        `yaml:"name" validate:"required,label"`
	Runners         int           `yaml:"runners" validate:"gt=0"`
	MayBeAway       int           `yaml:"mayBeAway" validate:"gte=0"`                 // runners that the service can do without on an ordinary day
	AtOncePerRunner int           `yaml:"atOncePerRunner" validate:"gt=0"`            // requests that one runner processes at once
	Connections     int           `yaml:"connections" validate:"gt=0"`                // connections that one runner accepts
	AnswerWithin    time.Duration `yaml:"answerWithin" validate:"gt=0"`               // time after which people give up
	MustNotRepeat   []string      `yaml:"mustNotRepeat" validate:"dive,startswith=/"` // path prefixes of POST requests that must run at most once
}
