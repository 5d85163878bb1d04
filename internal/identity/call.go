package identity

import "persimmonbay/internal/poolconfig"

// Call is what a caller's request says about its queue and its caller.
type Call struct {
	Host string
	Path string
	Key  *poolconfig.KeyDigest // nil: the call carries no key
}
