package teams

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Order decides the order of teams in one pool. Teams without a share, and work without a
// team, are neither counted nor put after others. A share of weight 0 is a share of nothing.
type Order struct {
	accounts map[string]*Account // by team
}

// NewOrder returns an Order without shares.
func NewOrder() *Order { return &Order{accounts: make(map[string]*Account)} }

// SetShares replaces the shares, by team. A team that keeps a share keeps what was counted.
func (o *Order) SetShares(shares map[string]Share) {
	maps.DeleteFunc(o.accounts, func(team string, a *Account) bool {
		if _, ok := shares[team]; ok {
			return false
		}
		a.excess, a.share = 0, Share{}
		return true
	})
	for team, s := range shares {
		if a, ok := o.accounts[team]; ok {
			a.share = s
		} else {
			o.accounts[team] = &Account{share: s}
		}
	}
}

// Account returns the account of the team, nil if it has no share.
func (o *Order) Account(team string) *Account { return o.accounts[team] }

// HasShares reports whether any team has a share.
func (o *Order) HasShares() bool { return len(o.accounts) > 0 }

// Spent returns the teams whose weights allow no further job at now, and for how long. It
// returns at most maxCounted, those with the longest time.
func (o *Order) Spent(now time.Time) map[string]time.Duration {
	spent := make(map[string]time.Duration)
	for team, a := range o.accounts {
		if d := a.spentFor(now); d > 0 {
			spent[team] = d
		}
	}
	if len(spent) > maxCounted {
		names := slices.SortedFunc(maps.Keys(spent), func(a, b string) int { return cmp.Compare(spent[b], spent[a]) })
		for _, team := range names[maxCounted:] {
			delete(spent, team)
		}
	}
	return spent
}

// Update compares what each team was given with its share, if any work has waited for room
// since the last Update; else no team has an excess. Teams that ask for less than their
// shares leave the rest to the others, in proportion to the weights. A team without weight is
// above its share whatever it was given.
func (o *Order) Update(machines float64, now time.Time) {
	var active []*Account
	full := false
	for _, a := range o.accounts {
		a.excess, a.counts.Excess, a.counts.Waiting = 0, a.excess, a.waiting
		full = full || a.waiting > 0
		if given := a.given.decay(now); given+a.waiting > 0 && a.share.Weight > 0 {
			active = append(active, a)
		}
	}
	if !full {
		return
	}
	fair := fairLevel(active, usableShare*machines*Memory.Seconds())
	for _, a := range o.accounts {
		a.waiting = 0
		if a.share.Weight > 0 {
			a.setExcess(fair)
		} else {
			a.excess = maxExcess
		}
	}
}

// fairLevel returns how much work for each unit of weight the teams would have been given
// at most, if all that was given had been divided fairly by what each has asked for.
func fairLevel(active []*Account, least float64) float64 {
	slices.SortFunc(active, func(a, b *Account) int { return cmp.Compare(a.askedPerWeight(), b.askedPerWeight()) })
	work, weight := 0.0, 0.0
	for _, a := range active {
		work += a.given.value
		weight += a.share.Weight
	}
	work = max(work, least)
	for _, a := range active {
		if a.askedPerWeight()*weight >= work {
			return work / weight
		}
		work -= a.given.value + a.waiting
		weight -= a.share.Weight
	}
	return math.Inf(1)
}

// usableShare is the part of a full pool's capacity that is in use at least.
const usableShare = 0.8

// Counts returns the totals by team: those of the teams that were given most, up to
// maxCounted, and the sum of the others under Others.
func (o *Order) Counts() map[string]Counts {
	names := slices.SortedFunc(maps.Keys(o.accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.accounts[b].counts.Given, o.accounts[a].counts.Given), cmp.Compare(a, b))
	})
	counts := make(map[string]Counts, min(len(names), maxCounted+1))
	for i, name := range names {
		if i >= maxCounted {
			name = Others
		}
		counts[name] = counts[name].plus(o.accounts[names[i]].counts)
	}
	return counts
}

// Others is the name under which Counts sums teams.
const Others = "(others)"

// maxCounted bounds the teams that Counts names.
const maxCounted = 32
