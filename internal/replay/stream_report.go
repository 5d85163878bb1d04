package replay

import (
	"time"

	"persimmonbay/internal/fleet"
)

// StreamReport is what became of one stream while a flood ran.
type StreamReport struct {
	Service    string        `json:"service"`
	Team       string        `json:"team"`
	Class      fleet.Class   `json:"class"`
	Flood      bool          `json:"flood"`
	Offered    int           `json:"offered"`
	Good       int           `json:"good"`     // whole answers before the deadline
	CalmGood   int           `json:"calmGood"` // without the flood
	P99        time.Duration `json:"p99Nanos"`
	CalmP99    time.Duration `json:"calmP99Nanos"`
	WaitingP50 time.Duration `json:"waitingP50Nanos"`
	WaitingP99 time.Duration `json:"waitingP99Nanos"`
	ShareOfOwn float64       `json:"shareOfOwn"` // a flood's good answers over what its guaranteed share could give
}

// Goodput is what other work keeps, as a share of that without the flood.
func (r *StreamReport) Goodput() float64 {
	if r.CalmGood == 0 {
		return 1
	}
	return float64(r.Good) / float64(r.CalmGood)
}

// P99Factor is other work's p99 over that without the flood.
func (r *StreamReport) P99Factor() float64 {
	if r.CalmP99 == 0 {
		return 1
	}
	return float64(r.P99) / float64(r.CalmP99)
}
