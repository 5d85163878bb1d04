package ledger

import (
	"crypto/sha256"
	"strconv"

	"persimmonbay/internal/request"
)

// digestBytes is the size of a Digest in bytes.
const digestBytes = 16

// Digest is a hash of a request. It detects that a key was used again for a
// different request.
type Digest [digestBytes]byte

// DigestOf returns the digest of the service, team, method, path and body of r.
func DigestOf(r *request.Request) Digest {
	hash := sha256.New()
	for _, part := range []string{r.Service, r.Team, r.Method, r.Path} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	hash.Write(r.Body)
	return Digest(hash.Sum(nil)[:digestBytes])
}
