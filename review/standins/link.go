package main

import (
	"io"
	"net"
	"sync"
)

// link is the network between one machine and one service of the platform. While it is
// cut, no byte passes in either direction and no connection opens. What was sent on an
// open connection is delivered after the cut, unless its sender has reset the connection:
// that is how TCP behaves behind a partition.
type link struct {
	target string
	watch  func(data []byte) // sees what the machine sends, before it is passed on; may be nil

	mu     sync.Mutex
	healed chan struct{} // closed while the link is whole
	whole  bool
}

func newLink(target string) (*link, string) {
	l := &link{target: target, healed: make(chan struct{}), whole: true}
	close(l.healed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn.(*net.TCPConn))
		}
	}()
	return l, listener.Addr().String()
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.whole {
		l.whole, l.healed = false, make(chan struct{})
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.whole {
		l.whole = true
		close(l.healed)
	}
}

func (l *link) state() (whole bool, healed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole, l.healed
}

func (l *link) serve(near *net.TCPConn) {
	defer near.Close()
	if whole, _ := l.state(); !whole {
		// The opening packet is lost. Nothing that is sent on such a connection arrives.
		_, _ = io.Copy(io.Discard, near)
		return
	}
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	far := conn.(*net.TCPConn)
	defer far.Close()
	done := make(chan struct{})
	go func() {
		l.pass(near, far, nil)
		close(done)
	}()
	l.pass(far, near, l.watch)
	<-done
}

// pass copies from one side to the other, and passes the end of the stream on. After a
// reset it drops what is held up.
func (l *link) pass(to, from *net.TCPConn, watch func([]byte)) {
	buffer := make([]byte, 64<<10)
	var held []byte
	ended := make(chan error, 1)
	chunks := make(chan []byte)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				select {
				case chunks <- append([]byte(nil), buffer[:n]...):
				case <-stop:
					return
				}
			}
			if err != nil {
				ended <- err
				return
			}
		}
	}()
	over := false
	for {
		whole, healed := l.state()
		var wake <-chan struct{}
		if !whole {
			wake = healed
		} else if len(held) > 0 {
			if _, err := to.Write(held); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
			held = nil
		}
		if whole && over {
			_ = to.CloseWrite()
			return
		}
		select {
		case data := <-chunks:
			if watch != nil {
				watch(data)
			}
			held = append(held, data...)
		case err := <-ended:
			if err != io.EOF { // a reset: what is held up is lost
				_ = to.SetLinger(0)
				_ = to.Close()
				return
			}
			over = true
		case <-wake:
		}
	}
}
