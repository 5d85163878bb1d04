package operator

import (
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"persimmonbay/internal/problem"
)

// MaxConnections bounds the connections of operators and strangers together.
const MaxConnections = 128

// boundedListener closes connections above its bound at once. room has a lock
// of its own.
type boundedListener struct {
	net.Listener
	room *semaphore.Weighted
	log  *zap.Logger
}

// Bound returns listener with at most max connections open.
func Bound(listener net.Listener, max int64, log *zap.Logger) net.Listener {
	return &boundedListener{Listener: listener, room: semaphore.NewWeighted(max), log: log}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.room.TryAcquire(1) {
			return &boundedConn{Conn: c, room: l.room}, nil
		}
		l.log.Warn("connection refused: too many", zap.String("step", string(problem.StepListen)), zap.String("peer", c.RemoteAddr().String()))
		_ = c.Close()
	}
}
