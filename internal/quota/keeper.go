package quota

import (
	"maps"
	"slices"
	"time"
)

// Keeper decides on the grants of one pool for one owner. It is not safe for concurrent
// use.
type Keeper struct {
	pool  string
	owner int64           // fencing token
	pools map[string]bool // of the configuration
	teams map[string]*teamAccount
}

// NewKeeper returns the keeper of a pool for the owner with the given fencing token. It knows
// no account yet.
func NewKeeper(pool string, owner int64) *Keeper {
	return &Keeper{pool: pool, owner: owner, pools: map[string]bool{pool: true}, teams: make(map[string]*teamAccount)}
}

// maxPoolsWithSlices bounds the pools among which caps are split in advance. With more of
// them the parts would be too small to be of use.
const maxPoolsWithSlices = 16

// Configure applies the caps of all teams that have one, and the pools that share them.
// An idle pool keeps a slice of each cap; all slices together are half of it.
func (k *Keeper) Configure(caps map[string]Amount, pools []string) {
	k.pools = make(map[string]bool, len(pools))
	for _, p := range pools {
		k.pools[p] = true
	}
	for team := range k.teams {
		if _, ok := caps[team]; !ok {
			delete(k.teams, team)
		}
	}
	for team, limit := range caps {
		t := k.teams[team]
		if t == nil {
			t = &teamAccount{}
			k.teams[team] = t
		}
		t.cap, t.slice = limit, Amount{}
		if n := len(pools); n > 0 && n <= maxPoolsWithSlices {
			t.slice = combine(limit, limit, func(x, _ int) int { return x / (2 * n) })
		}
	}
}

// Active reports whether any team has a cap.
func (k *Keeper) Active() bool { return len(k.teams) > 0 }

// Teams returns the teams with caps, sorted.
func (k *Keeper) Teams() []string { return slices.Sorted(maps.Keys(k.teams)) }

// Known reports whether the accounts of all teams were read.
func (k *Keeper) Known() bool {
	for _, t := range k.teams {
		if !t.known {
			return false
		}
	}
	return true
}

// Observe records the account of a team at a revision of the store; 0: it has none.
func (k *Keeper) Observe(team string, a Account, revision int64) {
	if t := k.teams[team]; t != nil {
		t.observe(k.pool, k.owner, a, revision)
	}
}

// Granted returns what the pool's account shows for a team.
func (k *Keeper) Granted(team string) Amount {
	if t := k.teams[team]; t != nil {
		return t.account.Pools[k.pool].Granted
	}
	return Amount{}
}

// Propose decides on the grants of all teams by the pool's demands. It returns the changes
// to be written. A grant that is to be lowered counts as lowered at once, whatever becomes
// of the write; one that is to be raised counts only once Observe shows it.
func (k *Keeper) Propose(demands map[string]Demand, now time.Time) []Proposal {
	var proposals []Proposal
	for _, team := range k.Teams() {
		t := k.teams[team]
		if !t.known {
			t.limit = Limit{Cap: t.cap}
			continue
		}
		d := demands[team]
		was := t.account.Pools[k.pool]
		out := decide(t.cap, t.slice, t.usable, t.others, k.pool, t.turn, d, t.peak.add(d.needed(), now))
		t.limit = Limit{Cap: t.cap, Running: out.running, Hold: out.hold, Granted: was.Granted}
		t.asked = out.asked && was.Granted != Amount{}
		t.refusal = out.grant.Wanted != Amount{}
		t.below = !t.others.granted.Plus(was.Granted).Within(t.cap, t.cap)
		next, dropped := t.dropAbsent(k.pools, now)
		if out.grant.Owner = was.Owner; out.grant != was || out.grant.Granted != t.usable || dropped {
			out.grant.Owner = k.owner
			proposals = append(proposals, Proposal{Team: team, Account: next.With(k.pool, out.grant), Revision: t.revision})
		}
		t.usable = t.usable.Min(out.grant.Granted)
	}
	return proposals
}

// Limits returns what the pool may have running for each team with a cap, as of the last
// call of Propose. For a team whose account was not read yet, that is nothing.
func (k *Keeper) Limits() map[string]Limit {
	limits := make(map[string]Limit, len(k.teams))
	for team, t := range k.teams {
		limit := t.limit
		limit.Cap = t.cap
		limits[team] = limit
	}
	return limits
}

// Short returns the teams for which the pool was granted less than it wants, sorted.
func (k *Keeper) Short() []string {
	return k.having(func(t *teamAccount) bool { return t.refusal })
}

// Exceeded returns the teams whose grants in all pools exceed their cap, sorted.
func (k *Keeper) Exceeded() []string { return k.having(func(t *teamAccount) bool { return t.below }) }

// Busy reports whether grants should be decided on often: the pool is short, others are while
// it has a grant, or grants exceed a cap.
func (k *Keeper) Busy() bool {
	for _, t := range k.teams {
		if t.refusal || t.below || t.asked {
			return true
		}
	}
	return false
}

func (k *Keeper) having(cond func(t *teamAccount) bool) []string {
	var teams []string
	for _, team := range k.Teams() {
		if cond(k.teams[team]) {
			teams = append(teams, team)
		}
	}
	return teams
}
