package scheduler

import "time"

// Plan holds the orders and requests that are to be sent now.
type Plan struct {
	Starts     []StartOrder
	Stops      []StopOrder
	Throttles  []ThrottleOrder
	Advice     []AdviceRequest
	Polls      []string  // workers to poll now, though nothing is known to run there
	Interrupts []string  // workers that are lost: their polls in progress are to end now, with what has arrived
	Next       time.Time // when to plan again if nothing changes before; zero: not needed
	// TokensUsedUp tells that the owner has few fencing tokens left for calls to a worker. The
	// pool has to be handed over.
	TokensUsedUp bool
}

// wakeAt moves Next to t unless it is earlier already.
func (p *Plan) wakeAt(t time.Time) {
	if p.Next.IsZero() || t.Before(p.Next) {
		p.Next = t
	}
}
