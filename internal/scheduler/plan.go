package scheduler

import "time"

// Plan is what is to be ordered now.
type Plan struct {
	Starts    []StartOrder
	Stops     []StopOrder
	Throttles []ThrottleOrder
	Advice    []AdviceRequest
	Next      time.Time // when to plan again if nothing happens before; zero: no need
}

// wakeAt moves Next to an earlier time.
func (p *Plan) wakeAt(t time.Time) {
	if p.Next.IsZero() || t.Before(p.Next) {
		p.Next = t
	}
}
