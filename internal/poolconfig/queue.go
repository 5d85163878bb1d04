package poolconfig

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// Queue takes jobs for the workers of one service.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int
	MaxFailures int
	Stretch     float64
	Objective   time.Duration
	Timeout     time.Duration
	Advice      *scheduler.AdvicePolicy
}
