package configuration

// Versioned is an accepted configuration with its version.
type Versioned struct {
	Version       Version
	Configuration *Configuration // immutable once accepted
	Source        []byte         // YAML from which it was parsed; sent to peers unchanged
}

// Newer reports whether v is newer than current and so replaces it.
func (v Versioned) Newer(current Versioned) bool { return v.Version > current.Version }
