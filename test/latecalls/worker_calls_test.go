package latecalls

import (
	"context"
	"net/http"
	"time"
)

// A call that gets no answer is carried out this much later.
const (
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// ServeHTTP answers a call of an entry.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	c := &call{path: r.URL.Path, expected: r.Header.Get("X-Expect-Instance"), receivedAt: time.Now()}
	readBody(r, &c.callBody)
	target, gate := w.receive(c)
	if !gate.await() { // what a cut holds up arrives after it
		panic(http.ErrAbortHandler)
	}
	if w.keepsBack(c) {
		w.record.note("%s#%d gets %s, which gets no answer", w.id, c.sentTo, c.text())
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if lateness, lost := w.loses(c); lost {
		w.record.note("%s#%d gets %s, which gets no answer and is carried out %.2f s later", w.id, c.sentTo, c.text(), lateness.Seconds())
		time.AfterFunc(lateness, func() { w.carryOut(c) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer, ok := w.pass(r.Context(), target, c)
	if !ok || !gate.await() {
		panic(http.ErrAbortHandler)
	}
	respond(out, answer.status, answer.body)
}

// receive returns the incarnation that has the address, nil if there is none, and the gate
// through which the call came.
func (w *worker) receive(c *call) (*incarnation, *gate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.sentTo = w.number
	return w.present, w.gate
}

// loses decides whether a call gets no answer, and how much later it is carried out.
func (w *worker) loses(c *call) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.losing || w.random.Float64() >= w.class.Lost[c.path] {
		return 0, false
	}
	return minLateness + time.Duration(w.random.Int64N(int64(maxLateness-minLateness))), true
}

// pass hands a call to the incarnation at the other end of its connection. A relay that
// keeps connections hands it to the next one if that one has crashed.
func (w *worker) pass(ctx context.Context, target *incarnation, c *call) (reply, bool) {
	if target != nil {
		if answer, ok := target.handle(ctx, c); ok || ctx.Err() != nil {
			return answer, ok
		}
	}
	if !w.class.KeepsConnections {
		return reply{}, false
	}
	next := w.awaitUp(ctx)
	if next == nil {
		return reply{}, false
	}
	if w.keepsBack(c) {
		<-ctx.Done()
		return reply{}, false
	}
	w.record.note("%s#%d gets %s, sent to #%d", w.id, next.number, c.text(), c.sentTo)
	return next.handle(ctx, c)
}

// awaitUp returns the present incarnation once there is one; nil if ctx ends before.
func (w *worker) awaitUp(ctx context.Context) *incarnation {
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	select {
	case <-up:
	case <-ctx.Done():
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.present
}

// carryOut hands a call that got no answer to the incarnation that has the address now.
func (w *worker) carryOut(c *call) {
	w.mu.Lock()
	present := w.present
	w.mu.Unlock()
	if present == nil {
		w.record.note("%s is down, %s is lost", w.id, c.text())
		return
	}
	c.late, c.Wait = true, 0
	if answer, ok := present.handle(context.Background(), c); ok {
		w.record.note("%s#%d carries out %s late, sent to #%d: %d %v", w.id, present.number, c.text(), c.sentTo, answer.status, answer.body["reason"])
	}
}
