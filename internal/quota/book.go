package quota

// Book counts what one pool has running for each team, and says whether a team has room
// for more. Its owner guards it by a lock.
type Book struct {
	teams  map[string]*teamUsage
	places map[place]placeUsage
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{teams: make(map[string]*teamUsage), places: make(map[place]placeUsage)}
}

func (b *Book) usage(team string) *teamUsage {
	u := b.teams[team]
	if u == nil {
		u = &teamUsage{}
		b.teams[team] = u
	}
	return u
}

// ChargeRun counts a run on a worker. adopted says that this owner did not order it.
func (b *Book) ChargeRun(worker string, c Charge, adopted bool) {
	b.change(worker, c, func(p *placeUsage) { p.running = p.running.Plus(c.Amount) })
	if adopted && c.Team != "" {
		u := b.usage(c.Team)
		u.adopted = u.adopted.Plus(c.Amount)
	}
}

// ReleaseRun counts a run no longer. adopted is as for its ChargeRun.
func (b *Book) ReleaseRun(worker string, c Charge, adopted bool) {
	if adopted && c.Team != "" {
		u := b.usage(c.Team)
		u.adopted = u.adopted.Minus(c.Amount)
	}
	b.change(worker, c, func(p *placeUsage) { p.running = p.running.Minus(c.Amount) })
}

// ChargeOpen counts a start that a later incarnation of the worker may carry out.
func (b *Book) ChargeOpen(worker string, c Charge) {
	b.change(worker, c, func(p *placeUsage) { p.open = p.open.Plus(c.Amount) })
}

// ReleaseOpen counts such a start no longer.
func (b *Book) ReleaseOpen(worker string, c Charge) {
	b.change(worker, c, func(p *placeUsage) { p.open = p.open.Minus(c.Amount) })
}

func (b *Book) change(worker string, c Charge, apply func(p *placeUsage)) {
	if c.Team == "" {
		return
	}
	key := place{team: c.Team, worker: worker}
	p := b.places[key]
	before := p.counted()
	apply(&p)
	if b.places[key] = p; p == (placeUsage{}) {
		delete(b.places, key)
	}
	u := b.usage(c.Team)
	u.used = u.used.Minus(before).Plus(p.counted())
	if !u.limited && u.used == (Amount{}) {
		delete(b.teams, c.Team)
	}
}

// SetLimits replaces the limits of all teams. A team that is not named has none.
func (b *Book) SetLimits(limits map[string]Limit) {
	for team, u := range b.teams {
		if _, ok := limits[team]; !ok {
			u.limited, u.limit = false, Limit{}
		}
	}
	for team, l := range limits {
		u := b.usage(team)
		u.limited, u.limit = true, l
	}
}

// SetInherited records what the pool had been granted when its owner took it over.
func (b *Book) SetInherited(team string, granted Amount) { b.usage(team).inherited = granted }

// Limited reports whether any team has a limit.
func (b *Book) Limited() bool {
	for _, u := range b.teams {
		if u.limited {
			return true
		}
	}
	return false
}

// SetUnknown records what runs of a former owner that are not known may use at most: of any
// team together, and of single teams in addition. The former owner stayed within the
// inherited grant.
func (b *Book) SetUnknown(anyTeam Amount, ofTeam map[string]Amount) {
	for team, u := range b.teams {
		u.unknown = u.inherited.Minus(u.adopted).Min(anyTeam.Plus(ofTeam[team])).Max(Amount{})
	}
}

// BeginPlan forgets what waited in the last plan.
func (b *Book) BeginPlan() {
	for _, u := range b.teams {
		u.waiting, u.held = Amount{}, Amount{}
	}
}

// HasRoom reports whether the team may have a further amount running.
func (b *Book) HasRoom(team string, need Amount) bool {
	u := b.teams[team]
	if u == nil || !u.limited {
		return true
	}
	if u.limit.Hold {
		need = need.Plus(u.held)
	}
	return u.used.Plus(u.unknown).Plus(need).Within(u.limit.Running, u.limit.Cap)
}

// CanHold reports whether the amount is within the team's cap at all.
func (b *Book) CanHold(team string, need Amount) bool {
	u := b.teams[team]
	return u == nil || !u.limited || need.Within(u.limit.Cap, u.limit.Cap)
}

// Wait records that an amount waits for the team's room. hold is the part of it for which
// no room is left to what comes later in the plan.
func (b *Book) Wait(team string, amount, hold Amount) {
	u := b.usage(team)
	u.waiting = u.waiting.Plus(amount)
	u.held = u.held.Max(hold)
}

// Demands returns the demands of all teams with a limit.
func (b *Book) Demands() map[string]Demand {
	demands := make(map[string]Demand, len(b.teams))
	for team, u := range b.teams {
		if u.limited {
			demands[team] = Demand{Used: u.used.Plus(u.unknown), Waiting: u.waiting, Held: u.held}
		}
	}
	return demands
}

// Waiting reports whether a team waits for room that its cap may still have.
func (b *Book) Waiting() bool {
	for _, u := range b.teams {
		if u.waiting != (Amount{}) {
			return true
		}
	}
	return false
}

// Statuses returns what an operator sees of each team with a limit.
func (b *Book) Statuses() map[string]Status {
	statuses := make(map[string]Status, len(b.teams))
	for team, u := range b.teams {
		if u.limited {
			statuses[team] = Status{Cap: u.limit.Cap, Granted: u.limit.Granted, MayRun: u.limit.Running, Used: u.used, Unknown: u.unknown, Waiting: u.waiting}
		}
	}
	return statuses
}
