package scheduler

// A fencing token in a call to a worker consists of the owner's token and, in its lowest
// TokenStepBits bits, of a step that the owner raises for one worker whenever a call to it
// got no answer. A worker refuses tokens below the highest that it has seen. Its reply to a
// poll with a raised token therefore shows what became of all calls with lower ones: that
// incarnation has carried them out, or never will.
const (
	TokenStepBits = 20
	maxTokenStep  = 1<<TokenStepBits - 1
	// tokenStepReserve is the number of steps with which a hand-over has to begin: more than
	// all calls to one worker take in the time that it may last.
	tokenStepReserve = 1 << 14
)

// callToken returns the fencing token of calls to w.
func (p *Pool) callToken(w *worker) int64 { return p.token<<TokenStepBits + w.tokenStep }

// raiseToken raises the token of further calls to the worker.
func (w *worker) raiseToken() { w.tokenStep = min(w.tokenStep+1, maxTokenStep) }

// tokensUsedUp reports whether few tokens of this owner are left for calls to a worker. The
// next owner has a token with all steps.
func (p *Pool) tokensUsedUp() bool {
	for _, w := range p.workers {
		if w.tokenStep > maxTokenStep-tokenStepReserve {
			return true
		}
	}
	return false
}

// startToken returns the fencing token of a start at w that is sent now. It is above that of
// an acknowledgement without a reply: whichever incarnation carries out the start refuses
// the acknowledgement from then on, which would drop the end of that run before any owner has
// read it. An acknowledgement after a start waits for the start's answer instead.
func (p *Pool) startToken(w *worker) int64 {
	p.raiseAboveAck(w)
	return p.callToken(w)
}

// raiseAboveAck raises the token of further calls to the worker if an acknowledgement without
// a reply has the present one.
func (p *Pool) raiseAboveAck(w *worker) {
	if w.ackToken == p.callToken(w) {
		w.raiseToken()
	}
}

// raiseTokensOfPlan gives the stops and throttles of a plan tokens that are not below those of
// its starts: the worker may receive them in any order.
func (p *Pool) raiseTokensOfPlan(plan *Plan) {
	for i := range plan.Stops {
		plan.Stops[i].Token = p.callToken(p.workers[plan.Stops[i].Worker])
	}
	for i := range plan.Throttles {
		plan.Throttles[i].Token = p.callToken(p.workers[plan.Throttles[i].Worker])
	}
}

// TokenRaised reports whether this owner has raised the fencing token of its calls to the
// worker above the given one. A refusal of a call with that token as fenced shows no later
// owner then.
func (p *Pool) TokenRaised(id string, token int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := p.highestTokenStep
	if w, ok := p.workers[id]; ok {
		step = w.tokenStep
	}
	return token < p.token<<TokenStepBits+step
}
