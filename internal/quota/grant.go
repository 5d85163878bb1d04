package quota

// Grant is one pool's part of an account.
type Grant struct {
	Granted Amount // that the pool may have running for the team
	Wanted  Amount // that the pool would use in all, where that is more than it was granted; else nothing
	Held    Amount // that it needs in all for what has waited long, a wide step for example; nothing: there is none
	Turn    int    // the lowest among the pools with Held goes first; above 0 only with Held
	Owner   int64  // fencing token of the owner that changed it last
}

// holds reports whether the pool has something that has waited long.
func (g Grant) holds() bool { return g.Held != Amount{} }

// empty reports whether the grant says nothing.
func (g Grant) empty() bool { return g == Grant{Owner: g.Owner} }

// short reports whether the pool wants more than it was granted of some resource.
func (g Grant) short() bool {
	return g.Wanted.MilliCPU > g.Granted.MilliCPU || g.Wanted.MemoryMB > g.Granted.MemoryMB || g.Wanted.Accelerators > g.Granted.Accelerators
}
