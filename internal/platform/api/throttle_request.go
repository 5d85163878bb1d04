package api

// ThrottleRequest limits a task to a share of its processors.
type ThrottleRequest struct {
	Percent int `json:"percent"` // 1 to 100; 100 ends the throttling
}

// UnthrottledPercent is the Percent of a task that is not throttled.
const UnthrottledPercent = 100
