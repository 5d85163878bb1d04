package relay

import (
	"net"
	"sync"

	"persimmonbay/internal/shard"
)

// bufferBytes is the size of one direction's buffer.
const bufferBytes = 16 << 10

// connection is one relayed connection. silent has a lock of its own.
type connection struct {
	near, far net.Conn
	silent    *shard.Cell[bool]
}

func newConnection(near, far net.Conn) *connection {
	return &connection{near: near, far: far, silent: shard.NewCell(false)}
}

// carry copies both ways until one end closes.
func (c *connection) carry() {
	var both sync.WaitGroup
	both.Go(func() { c.copy(c.far, c.near) })
	both.Go(func() { c.copy(c.near, c.far) })
	both.Wait()
}

// copy swallows what arrives while the connection is silent. The end of a
// silent connection is not passed on either.
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
