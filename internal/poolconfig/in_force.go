package poolconfig

import "persimmonbay/internal/shard"

// InForce holds the newest configuration known. It never goes back.
type InForce struct {
	cell *shard.Cell[*Configuration] // nil until the first is known
}

// NewInForce returns a holder that knows no configuration.
func NewInForce() *InForce { return &InForce{cell: shard.NewCell[*Configuration](nil)} }

// Get returns the configuration in force, or nil.
func (f *InForce) Get() *Configuration { return f.cell.Get() }

// Watch returns the configuration and a channel that is closed at the next.
func (f *InForce) Watch() (*Configuration, <-chan struct{}) { return f.cell.Watch() }

// Put takes c into force and reports true, unless it is not newer.
func (f *InForce) Put(c *Configuration) bool {
	return f.cell.Update(func(old *Configuration) (*Configuration, bool) {
		if old != nil && old.Version >= c.Version {
			return old, false
		}
		return c, true
	})
}
