package poolconfig

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// Queue is a queue of jobs for the workers of one service. Requests are matched by
// Host and Prefix.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int
	MaxFailures int     // failed runs of a task after which its job fails; 0: no limit
	Stretch     float64 // the objective is Stretch times the longest chain of work, plus Objective
	Objective   time.Duration
	Timeout     time.Duration
	Advice      *scheduler.AdvicePolicy
	Public      bool // callers need no team's key
}
