package operator

import (
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"persimmonbay/internal/problem"
)

// MaxConnections is the limit on connections to the operators' address, with and
// without a valid token.
const MaxConnections = 128

// boundedListener accepts connections up to a limit and closes further ones at
// once. open counts the accepted ones and is safe for concurrent use.
type boundedListener struct {
	net.Listener
	open *semaphore.Weighted
	log  *zap.Logger
}

// LimitListener returns a listener that accepts from listener and has at most max
// connections open.
func LimitListener(listener net.Listener, max int64, log *zap.Logger) net.Listener {
	return &boundedListener{Listener: listener, open: semaphore.NewWeighted(max), log: log}
}

// Accept implements net.Listener. It logs and closes connections above the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.TryAcquire(1) {
			return &boundedConn{Conn: c, open: l.open}, nil
		}
		l.log.Warn("connection closed: too many open connections", zap.String("step", string(problem.StepListen)), zap.String("peer", c.RemoteAddr().String()))
		_ = c.Close()
	}
}
