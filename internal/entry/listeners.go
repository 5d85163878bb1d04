package entry

import (
	"net"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/settings"
)

// listeners holds the open listeners of one entry.
type listeners struct {
	callers, operators, peers net.Listener
}

func listen(l settings.Listen) (opened listeners, err error) {
	for _, one := range []struct {
		address  string
		listener *net.Listener
	}{{l.Callers, &opened.callers}, {l.Operators, &opened.operators}, {l.Peers, &opened.peers}} {
		*one.listener, err = net.Listen("tcp", one.address)
		if err != nil {
			opened.close()
			return listeners{}, problem.Wrap(problem.Unavailable, problem.StepListen, one.address, err)
		}
	}
	return opened, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.operators, l.peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func (l listeners) addresses() Addresses {
	return Addresses{Callers: l.callers.Addr().String(), Operators: l.operators.Addr().String(), Peers: l.peers.Addr().String()}
}
