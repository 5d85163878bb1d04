package workconfig

import (
	"time"

	"persimmonbay/internal/work"
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
	Advice      *work.AdvicePolicy
}
