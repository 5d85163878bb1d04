package poolconfig

import "persimmonbay/internal/shard"

// InForce holds the configuration in force: the one with the highest version so far.
type InForce struct {
	cell *shard.Cell[*Configuration] // nil before the first configuration
}

// NewInForce returns an InForce without a configuration.
func NewInForce() *InForce { return &InForce{cell: shard.NewCell[*Configuration](nil)} }

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
