package upstream

import "net"

// silencedListener registers the connections that it accepts with a silencer.
type silencedListener struct {
	net.Listener
	silencer *silencer
}

// Accept implements net.Listener.
func (l silencedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.silencer.track(c), nil
}
