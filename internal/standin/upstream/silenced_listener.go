package upstream

import "net"

// silencedListener tracks the connections it accepts with a silencer.
type silencedListener struct {
	net.Listener
	silencer *silencer
}

// Accept waits for the next connection.
func (l silencedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.silencer.track(c), nil
}
