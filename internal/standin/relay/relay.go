package relay

import (
	"net"
	"strconv"
	"sync"

	"persimmonbay/internal/shard"
)

// Relay forwards connections to a target. Open connections are in shards; cut has a
// lock of its own.
type Relay struct {
	target      string
	listener    net.Listener
	cut         *shard.Cell[bool]
	connections *shard.Map[string, *connection]
	running     sync.WaitGroup
}

// Listen starts a relay on a free local port to target, HOST:PORT.
func Listen(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target:      target,
		listener:    listener,
		cut:         shard.NewCell(false),
		connections: shard.NewMapOf[string, *connection](8),
	}
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address of the relay, HOST:PORT.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut closes all connections, and each new one as soon as it is accepted, until
// Heal.
func (r *Relay) Cut() {
	r.cut.Update(func(bool) (bool, bool) { return true, true })
	r.each((*connection).close)
}

// Heal ends a Cut.
func (r *Relay) Heal() { r.cut.Update(func(bool) (bool, bool) { return false, true }) }

// Silence makes all open connections drop their data from now on without being
// closed. New connections work.
func (r *Relay) Silence() { r.each((*connection).silence) }

// Open returns the number of open connections, silent ones included.
func (r *Relay) Open() int { return r.connections.Len() }

// Close closes the listener and all connections and waits for the goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
	r.running.Wait()
}

func (r *Relay) each(do func(*connection)) {
	r.connections.Range(func(_ string, c *connection) bool {
		do(c)
		return true
	})
}

func (r *Relay) accept() {
	for n := 0; ; n++ {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		id := strconv.Itoa(n)
		r.running.Go(func() { r.forward(id, near) })
	}
}

// forward connects near to the target and forwards until one end closes.
func (r *Relay) forward(id string, near net.Conn) {
	defer near.Close()
	if r.cut.Get() {
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	c := newConnection(near, far)
	defer c.close()
	r.connections.Set(id, c)
	defer r.connections.Delete(id)
	if r.cut.Get() {
		return // cut during the dial
	}
	c.forward()
}
