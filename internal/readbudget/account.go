package readbudget

import (
	"sync"
	"time"
)

// headFactor is the memory that a byte of a head may take, as many short fields do.
const headFactor = 24

// smallBytes is what a connection may hold without being given up for memory. While large
// requests that are whole use up the budget, small ones go on.
const smallBytes = 16 << 10

// headSlack is what a reader may take in beyond the head.
const headSlack = 4 << 10

// Account is what one connection holds. It is safe for concurrent use; mu guards what follows.
type Account struct {
	id     string
	budget *Budget
	places *Places
	evict  func(Cause) // closes the connection; called without mu, once

	mu        sync.Mutex
	phase     phase
	since     time.Time // begin of the phase; of the request while its head or body is read
	progress  time.Time // when a body last made the least progress
	unpaid    int64     // bytes of a body since then
	headBytes int
	held      int64 // counted in the budget
	closed    bool
}

// Received records n bytes from the connection. Bytes of a body are recorded by BodyRead. It
// returns HeadTooLarge if the head exceeds l.
func (a *Account) Received(now time.Time, n int, l Limits) Cause {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == waiting {
		a.phase, a.since = head, now
	}
	if a.phase != head || a.closed {
		return None
	}
	a.headBytes += n
	a.hold(int64(n) * headFactor)
	if a.headBytes > l.HeadBytes+headSlack {
		return HeadTooLarge
	}
	return None
}

// BeginBody records that the head is whole and a body follows.
func (a *Account) BeginBody(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == waiting {
		a.since = now
	}
	a.phase, a.progress, a.unpaid = body, now, 0
}

// BodyRead records n bytes of the body.
func (a *Account) BodyRead(now time.Time, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.hold(int64(n))
	if a.unpaid += int64(n); a.unpaid >= MinBodyProgress {
		a.progress, a.unpaid = now, 0
	}
}

// Serve records that the request is whole. It returns false if the connection was given up
// before; then the request must not be carried out.
func (a *Account) Serve(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.phase, a.since = serving, now
	return true
}

// Done records that the response was sent and the connection waits for a request.
func (a *Account) Done(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase, a.since, a.headBytes = waiting, now, 0
	a.hold(-a.held) // nothing once closed
	a.places.signal()
}

// Close gives back what the connection holds. Further calls change nothing.
func (a *Account) Close() {
	if a.end(true) {
		a.places.remove(a)
	}
}

// Deadline returns until when the connection may read, and the cause if it is late; zero while
// its request is served.
func (a *Account) Deadline(l Limits) (time.Time, Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.phase {
	case waiting:
		return a.since.Add(l.IdleTime), Idle
	case head:
		return a.since.Add(l.HeadTime), HeadTooSlow
	case body:
		return a.progress.Add(BodyStall), BodyTooSlow
	}
	return time.Time{}, None
}

// weight is what the connection costs until its request is whole: the bytes it holds times the
// time for which it has. An ordinary request holds little for a short time. ok is false if the
// connection is not to be given up for cause.
func (a *Account) weight(now time.Time, cause Cause) (weight float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.phase == serving || cause == Memory && a.held < smallBytes {
		return 0, false
	}
	return float64(a.held+connectionBytes) * now.Sub(a.since).Seconds(), true
}

// giveUp closes the connection for cause unless its request is whole, and reports whether it did.
func (a *Account) giveUp(cause Cause) bool {
	if !a.end(false) {
		return false
	}
	a.places.remove(a)
	a.evict(cause)
	return true
}

// end marks the account as closed and gives back what it holds, also while the request is served
// if served is set. It reports whether it did.
func (a *Account) end(served bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.phase == serving && !served {
		return false
	}
	a.closed = true
	a.hold(-a.held)
	return true
}

// hold changes what the connection holds. The caller holds mu.
func (a *Account) hold(n int64) {
	a.held += n
	a.budget.held.Add(n)
}
