package relay

import (
	"net"
	"sync"

	"persimmonbay/internal/shard"
)

// bufferBytes is the size of the buffer of one direction.
const bufferBytes = 16 << 10

// connection is a relayed connection. silent has a lock of its own.
type connection struct {
	near, far net.Conn
	silent    *shard.Cell[bool]
}

func newConnection(near, far net.Conn) *connection {
	return &connection{near: near, far: far, silent: shard.NewCell(false)}
}

// forward copies in both directions until one end closes.
func (c *connection) forward() {
	var both sync.WaitGroup
	both.Go(func() { c.copy(c.far, c.near) })
	both.Go(func() { c.copy(c.near, c.far) })
	both.Wait()
}

// copy copies from one end to the other. While the connection is silent, data is
// dropped, and the end of one side is not passed on to the other.
func (c *connection) copy(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if c.silent.Get() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if !c.silent.Get() {
		c.close()
	}
}

func (c *connection) silence() {
	c.silent.Update(func(bool) (bool, bool) { return true, true })
}

func (c *connection) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}
