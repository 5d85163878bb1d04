package answertime

import "time"

// Peer holds the answer times of one peer and counts the calls that it left unanswered. It
// is not safe for concurrent use. The zero value is a peer that was never called.
type Peer struct {
	answers    Estimate
	unanswered int     // calls in a row
	lost       float64 // share of calls without an answer, over about lossWindow calls
	patience   int     // number of times that timeouts are doubled, because orders were carried out whose answers came late
	inTime     int     // answers since patience last changed
}

const (
	lossWindow  = 32
	lossyShare  = 0.02
	silentAfter = 3 // calls in a row without an answer
	maxPatience = 4
	quickCopies = 3 // of a call to a peer that answers others
	// calmAnswers is the number of answers in time after which timeouts are halved again.
	calmAnswers = 64
)

// Answered records an answer and its time.
func (p *Peer) Answered(took time.Duration) {
	p.answers.Add(took)
	p.AnsweredAgain()
}

// AnsweredAgain records an answer to a call that was repeated, or one that the peer held
// back: its time says nothing.
func (p *Peer) AnsweredAgain() {
	p.unanswered = 0
	p.lost -= p.lost / lossWindow
	if p.inTime++; p.inTime >= calmAnswers {
		p.patience, p.inTime = max(p.patience-1, 0), 0
	}
}

// Lost records a call that got no answer within its timeout.
func (p *Peer) Lost() {
	p.unanswered++
	p.lost += (1 - p.lost) / lossWindow
}

// WasCarriedOut records that the peer has carried out an order that seemed lost: its
// answer came late, or was lost.
func (p *Peer) WasCarriedOut() {
	p.patience, p.inTime = min(p.patience+1, maxPatience), 0
}

// Timeout returns how long to wait for an answer, when so many copies of the call got
// none. The first ones make it longer only as far as nothing else was answered since. own
// holds the answer times of all peers of this process, and so its own delay.
func (p *Peer) Timeout(l Limits, own *Estimate, copies int) time.Duration {
	if !l.Follow() || !p.answers.Known() {
		return l.Ceiling
	}
	timeout := max(l.Floor, p.answers.Bound(), own.Bound())
	doublings := max(min(copies, p.unanswered), copies-quickCopies)
	for range min(doublings, maxPatience) + p.patience {
		timeout *= 2
	}
	return min(timeout, l.Ceiling)
}

// State tells how the peer has answered lately.
func (p *Peer) State(l Limits) State {
	switch {
	case p.unanswered >= silentAfter:
		return Silent
	case !p.answers.Known():
		return Unknown
	case p.lost > lossyShare:
		return Lossy
	case p.answers.Bound() > l.Floor && l.Follow():
		return Slow
	}
	return Sound
}
