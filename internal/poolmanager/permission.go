package poolmanager

// Permission reports whether an order may be sent now. A client asks it once more after
// its last wait, as for a connection: the process may have been suspended meanwhile, and
// a timeout may not count that time. nil permits always.
type Permission func() bool
