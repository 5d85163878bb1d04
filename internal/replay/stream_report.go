package replay

import (
	"time"

	"persimmonbay/internal/fleet"
)

// StreamReport is the result of one stream while a flood runs.
type StreamReport struct {
	Service           string        `json:"service"`
	Team              string        `json:"team"`
	Class             fleet.Class   `json:"class"`
	Flood             bool          `json:"flood"`
	Offered           int           `json:"offered"`
	Good              int           `json:"good"`     // complete responses before the deadline
	BaselineGood      int           `json:"calmGood"` // Good without the floods
	P99               time.Duration `json:"p99Nanos"`
	BaselineP99       time.Duration `json:"calmP99Nanos"`
	WaitingP50        time.Duration `json:"waitingP50Nanos"`
	WaitingP99        time.Duration `json:"waitingP99Nanos"`
	ShareOfGuaranteed float64       `json:"shareOfOwn"` // a flood's Good over what its guaranteed share can serve
}

// Goodput returns Good as a share of that without the floods; 1 if that is 0.
func (r *StreamReport) Goodput() float64 {
	if r.BaselineGood == 0 {
		return 1
	}
	return float64(r.Good) / float64(r.BaselineGood)
}

// P99Factor returns P99 over that without the floods; 1 if that is 0.
func (r *StreamReport) P99Factor() float64 {
	if r.BaselineP99 == 0 {
		return 1
	}
	return float64(r.P99) / float64(r.BaselineP99)
}
