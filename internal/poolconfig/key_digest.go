package poolconfig

import "crypto/sha256"

// KeyDigest is the hash of a key with which a team's callers identify themselves. The key
// itself is not kept.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of key.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest in logs and errors.
func (KeyDigest) String() string { return "(key)" }

// GoString hides the digest in formatted dumps.
func (d KeyDigest) GoString() string { return d.String() }
