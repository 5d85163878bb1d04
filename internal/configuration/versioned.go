package configuration

// Versioned is an accepted configuration with its place in the order.
type Versioned struct {
	Version       Version
	Configuration *Configuration // immutable once accepted
	Source        []byte         // the document it was read from, passed on to peers as it is
}

// Newer reports whether v replaces current.
func (v Versioned) Newer(current Versioned) bool { return v.Version > current.Version }
