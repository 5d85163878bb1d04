package scheduler

// A fencing token in a call to a worker consists of the owner's token and, in its lowest
// TokenStepBits bits, of a step that the owner raises for one worker whenever a call to it
// got no answer. A worker refuses tokens below the highest that it has seen. Its reply to a
// poll with a raised token therefore shows what became of all calls with lower ones: that
// incarnation has carried them out, or never will.
const (
	TokenStepBits = 20
	maxTokenStep  = 1<<TokenStepBits - 1
)

// callToken returns the fencing token of calls to w.
func (p *Pool) callToken(w *worker) int64 { return p.token<<TokenStepBits + w.tokenStep }

// raiseToken raises the token of further calls to the worker.
func (w *worker) raiseToken() { w.tokenStep = min(w.tokenStep+1, maxTokenStep) }

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
