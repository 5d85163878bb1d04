package poolconfig

import (
	"time"

	"persimmonbay/internal/shard"
)

// InForce holds the configuration in force: the one with the highest version so far, and
// when it was last confirmed to be the newest.
type InForce struct {
	cell      *shard.Cell[*Configuration] // nil before the first configuration
	confirmed *shard.Cell[Confirmation]
}

// NewInForce returns an InForce without a configuration.
func NewInForce() *InForce {
	return &InForce{cell: shard.NewCell[*Configuration](nil), confirmed: shard.NewCell(Confirmation{})}
}

// Get returns the configuration in force, or nil before the first.
func (f *InForce) Get() *Configuration { return f.cell.Get() }

// Watch returns the configuration in force and a channel that is closed when the next
// one takes effect.
func (f *InForce) Watch() (*Configuration, <-chan struct{}) { return f.cell.Watch() }

// Put puts c into force if its version is higher than that in force, and reports
// whether it did.
func (f *InForce) Put(c *Configuration) bool {
	return f.cell.Update(func(old *Configuration) (*Configuration, bool) {
		if old != nil && old.Version >= c.Version {
			return old, false
		}
		return c, true
	})
}

// Confirm records that all configurations were put which were stored when a read was sent,
// at a time since boot. The caller puts what the read returned before it confirms. Earlier
// times than one that was confirmed have no effect.
func (f *InForce) Confirm(sent time.Duration) {
	f.confirmed.Update(func(old Confirmation) (Confirmation, bool) {
		if old.Known && old.At >= sent {
			return old, false
		}
		return Confirmation{At: sent, Known: true}, true
	})
}

// Confirmed returns the last confirmation. A configuration that Get returns after it is at
// least as new.
func (f *InForce) Confirmed() Confirmation { return f.confirmed.Get() }
