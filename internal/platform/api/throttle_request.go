package api

// ThrottleRequest limits a task to a share of its processors.
type ThrottleRequest struct {
	Percent int `json:"percent"` // 1 to 100; 100 ends the throttling
}

// WholePercent is the Percent of a task that is not throttled.
const WholePercent = 100
