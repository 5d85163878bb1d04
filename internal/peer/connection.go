package peer

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// Timing of the judgement of a session by its own progress.
const (
	pingAfter    = 300 * time.Millisecond // without a byte since a call began
	silenceLimit = 800 * time.Millisecond // without a byte, the ping's answer included
)

// connection is one open session with the connection under it. judging is true
// while a judgement is under way.
type connection struct {
	session *yamux.Session
	conn    *liveConn
	judging atomic.Bool
	kept    keptStreams
}

// stream returns the stream for one call: one that was kept, if the call may
// use one, or a new one.
func (c *connection) stream(keep bool) (*yamux.Stream, error) {
	if keep {
		if s := c.kept.take(time.Now()); s != nil {
			return s, nil
		}
	}
	return c.session.OpenStream()
}

// watch begins to judge the session by its progress from now on. It returns
// what ends the watch once the call has its answer. A call that is given up
// early leaves the watch running.
func (c *connection) watch(silent func()) (answered func() bool) {
	began := time.Now()
	return time.AfterFunc(pingAfter, func() { c.judge(began, silent) }).Stop
}

// judge pings the peer over the same session. Whatever the peer is busy with,
// a living session answers; when no byte comes, silent is called.
func (c *connection) judge(began time.Time, silent func()) {
	if !c.conn.silentSince(began) || !c.judging.CompareAndSwap(false, true) {
		return
	}
	defer c.judging.Store(false)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = c.session.Ping()
	}()
	select {
	case <-answered:
	case <-time.After(silenceLimit - pingAfter):
	}
	if c.conn.silentSince(began) {
		silent()
	}
}
