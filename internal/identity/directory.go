package identity

import (
	"crypto/subtle"

	"persimmonbay/internal/poolconfig"
)

// Directory finds the team of a key. It is built once for each configuration and is
// immutable.
type Directory struct {
	teams int
	keys  map[[8]byte][]teamKey // by the first bytes of the digest
}

// NewDirectory returns the directory of a configuration's teams.
func NewDirectory(teams []poolconfig.Team) *Directory {
	d := &Directory{teams: len(teams), keys: make(map[[8]byte][]teamKey, len(teams))}
	for i := range teams {
		for _, digest := range teams[i].Keys {
			b := bucket(&digest)
			d.keys[b] = append(d.keys[b], teamKey{digest: digest, team: teams[i].Name})
		}
	}
	return d
}

// Empty reports whether there are no teams, so that callers are not told apart.
func (d *Directory) Empty() bool { return d.teams == 0 }

// Team returns the team that has the key with the given digest, and false if none has.
// Digests are compared in constant time.
func (d *Directory) Team(digest poolconfig.KeyDigest) (team string, known bool) {
	for _, k := range d.keys[bucket(&digest)] {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			team, known = k.team, true
		}
	}
	return team, known
}

func bucket(digest *poolconfig.KeyDigest) [8]byte { return [8]byte(digest[:8]) }
