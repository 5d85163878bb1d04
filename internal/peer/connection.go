package peer

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// Detection of a session whose peer has stopped sending.
const (
	pingAfter    = 300 * time.Millisecond // ping after this time without a byte since a call began
	silenceLimit = 800 * time.Millisecond // the peer is silent after this time without a byte, not even the ping's reply
)

// connection is an open session, the network connection under it and the
// session's idle streams. probing is true while a ping's reply is awaited, so
// that only one probe runs at a time.
type connection struct {
	session *yamux.Session
	conn    *activityConn
	probing atomic.Bool
	idle    idleStreams
}

// stream returns a stream for one call: an idle one if reuse is set and there
// is one, otherwise a new one.
func (c *connection) stream(reuse bool) (*yamux.Stream, error) {
	if reuse {
		if s := c.idle.take(time.Now()); s != nil {
			return s, nil
		}
	}
	return c.session.OpenStream()
}

// probeAfterDelay starts a timer for a call that begins now: after pingAfter it
// probes the session, and calls onSilent if the peer is silent. The caller stops
// the timer with the returned function once it has its response. A call that is
// cancelled earlier leaves the timer running, so that calls with short deadlines
// detect a silent peer too.
func (c *connection) probeAfterDelay(onSilent func()) (stop func() bool) {
	began := time.Now()
	return time.AfterFunc(pingAfter, func() { c.probe(began, onSilent) }).Stop
}

// probe pings the peer over the same session unless a byte was received after
// began. A peer replies to pings however long it takes to serve calls. If no
// byte arrives within the rest of silenceLimit, probe calls onSilent.
func (c *connection) probe(began time.Time, onSilent func()) {
	if !c.conn.silentSince(began) || !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	replied := make(chan struct{})
	go func() {
		defer close(replied)
		_, _ = c.session.Ping()
	}()
	select {
	case <-replied:
	case <-time.After(silenceLimit - pingAfter):
	}
	if c.conn.silentSince(began) {
		onSilent()
	}
}
