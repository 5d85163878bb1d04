package relay

import (
	"net"
	"strconv"
	"sync"

	"persimmonbay/internal/shard"
)

// Relay forwards connections to a target. Each open connection is in a shard
// of connections; cut has a lock of its own.
type Relay struct {
	target      string
	listener    net.Listener
	cut         *shard.Cell[bool]
	connections *shard.Map[string, *connection]
	running     sync.WaitGroup
}

// Listen starts a relay to target, HOST:PORT, on a free local port.
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

// Address returns HOST:PORT of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut closes all connections and closes new ones at once, until Heal.
func (r *Relay) Cut() {
	r.cut.Update(func(bool) (bool, bool) { return true, true })
	r.each((*connection).close)
}

// Heal ends a Cut.
func (r *Relay) Heal() { r.cut.Update(func(bool) (bool, bool) { return false, true }) }

// Silence loses track of the connections that are open: they stay open and
// never carry a byte again. New ones work.
func (r *Relay) Silence() { r.each((*connection).silence) }

// Open returns the number of open connections, silent ones included.
func (r *Relay) Open() int { return r.connections.Len() }

// Close stops the relay and waits for its goroutines.
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
		r.running.Go(func() { r.carry(id, near) })
	}
}

func (r *Relay) carry(id string, near net.Conn) {
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
		return // cut while dialling
	}
	c.carry()
}
