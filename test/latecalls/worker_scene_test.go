package latecalls

// keepsBack keeps a call that gets no answer, if holds selects it.
func (w *worker) keepsBack(c *call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holds == nil || !w.holds(c) {
		return false
	}
	w.held = append(w.held, c)
	return true
}

// hold sets which calls get no answer from now on; nil: none. They are carried out by release.
func (w *worker) hold(holds func(c *call) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds = holds
}

// holdOne keeps the next call back that matches.
func (w *worker) holdOne(matches func(c *call) bool) {
	found := false
	w.hold(func(c *call) bool {
		if found || !matches(c) {
			return false
		}
		found = true
		return true
	})
}

// heldCalls returns how many calls wait for release.
func (w *worker) heldCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}

// releaseLast hands the last call that got no answer to the incarnation that has the address now.
func (w *worker) releaseLast() {
	w.mu.Lock()
	last := w.held[len(w.held)-1]
	w.held = w.held[:len(w.held)-1]
	w.mu.Unlock()
	w.carryOut(last)
}

// release hands all calls that got no answer to the incarnation that has the address now.
func (w *worker) release() {
	w.mu.Lock()
	held := w.held
	w.held = nil
	w.mu.Unlock()
	for _, c := range held {
		w.carryOut(c)
	}
}
