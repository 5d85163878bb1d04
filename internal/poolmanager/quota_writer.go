package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/quota"
	"persimmonbay/internal/telemetry"
)

// quotaWriter keeps the grants of one pool for the teams that have caps: it reads the
// teams' accounts, and writes what the pool needs and returns. Only one goroutine uses it.
type quotaWriter struct {
	*poolOwnership
	keeper     *quota.Keeper
	configured *poolconfig.Configuration // that the keeper knows; nil: none
	limits     map[string]quota.Limit    // in force
	readAt     time.Time                 // when all accounts were read; zero: never
	failed     bool                      // the last read or write failed
	inherited  map[string]bool           // teams whose grant the pool was told of
	reported   *quotaLines
	pause      retryPause
}

func newQuotaWriter(o *poolOwnership) *quotaWriter {
	return &quotaWriter{poolOwnership: o, keeper: quota.NewKeeper(o.service, o.token), inherited: make(map[string]bool), reported: newQuotaLines(o.log, o.Clock)}
}

const (
	// quotaPause is the shortest time between two rounds of writes: a few answer times of
	// the store, so that what many tasks wait for is asked for at once.
	quotaPause = 20 * time.Millisecond
	// quotaBusyInterval is the time between two rounds while a pool is short of room for a
	// team, or grants exceed a cap: what ends is returned by then.
	quotaBusyInterval = 100 * time.Millisecond
	// quotaIdleInterval is the same otherwise, and the age of the accounts at which they
	// are read again: other pools write there that they are short.
	quotaIdleInterval = 400 * time.Millisecond
	// quotaShortReadInterval is that age while this pool is short.
	quotaShortReadInterval = 200 * time.Millisecond
)

// run keeps the grants until the ownership ends. While no team has a cap it only waits for
// another configuration.
func (q *quotaWriter) run() {
	if q.config == nil {
		return
	}
	for q.ctx.Err() == nil {
		_, reconfigured := q.config.Watch()
		q.configure()
		if !q.keeper.Active() {
			select {
			case <-q.ctx.Done():
			case <-reconfigured:
			}
			continue
		}
		next := q.round()
		sleep(q.ctx, q.Clock, quotaPause)
		q.wait(next, reconfigured)
	}
}

// wait waits for the next round: until another configuration is in force, a team wants
// more or next has passed. After a failure, what teams want does not end the wait.
func (q *quotaWriter) wait(next time.Duration, reconfigured <-chan struct{}) {
	timer := q.Clock.NewTimer(next)
	defer timer.Stop()
	wanted := q.quotaWanted
	if q.failed {
		wanted = nil
	}
	select {
	case <-q.ctx.Done():
	case <-reconfigured:
	case <-wanted:
	case <-timer.Chan():
	}
}

// configure applies the configuration in force. Teams whose accounts were not read yet may
// start nothing.
func (q *quotaWriter) configure() {
	if q.config == nil {
		return
	}
	config := q.config.Get()
	if config == nil || config == q.configured {
		return
	}
	q.configured = config
	caps := make(map[string]quota.Amount)
	for i := range config.Teams {
		if limit := quota.Amount(config.Teams[i].Cap); limit.Limits() {
			caps[config.Teams[i].Name] = limit
		}
	}
	q.keeper.Configure(caps, config.Services())
	q.decide()
}

// round reads the accounts if it is time to, and writes the changes that the pool needs.
// It returns after what time the next round is due.
func (q *quotaWriter) round() time.Duration {
	if !q.isValid() || q.isLeaving() {
		return quotaIdleInterval
	}
	ctx, cancel := context.WithTimeout(q.ctx, readAllTimeout)
	defer cancel()
	if err := q.exchange(ctx); err != nil && q.ctx.Err() == nil {
		if !q.failed {
			q.log.Info("accounts of teams not read or not written, the pool goes on with its grants", telemetry.ProblemFields(err)...)
		}
		q.failed = true
		return q.pause.next()
	}
	if q.failed {
		q.log.Info("accounts of teams read and written again")
	}
	q.failed = false
	q.pause.reset()
	if q.keeper.Busy() {
		return quotaBusyInterval
	}
	return quotaIdleInterval
}

func (q *quotaWriter) exchange(ctx context.Context) error {
	maxAge := quotaIdleInterval
	if len(q.keeper.Short()) > 0 {
		maxAge = quotaShortReadInterval
	}
	if now := q.Clock.Now(); !q.keeper.Known() || now.Sub(q.readAt) >= maxAge {
		if err := q.readAccounts(ctx); err != nil {
			return err
		}
		q.readAt = now
	}
	for range maxQuotaTries {
		proposals := q.decide()
		if len(proposals) == 0 {
			return nil
		}
		err := q.write(ctx, proposals)
		if err != nil && !problem.Is(err, problem.Conflict) {
			return err
		}
	}
	q.decide()
	return nil
}

// maxQuotaTries bounds the writes of one round, each after another owner was first.
const maxQuotaTries = 4

// decide decides on the grants and puts the limits into force. A grant that is to be lowered
// bounds starts before it is returned: what started since the demand was counted is counted
// by a second decision, under the lower limit.
func (q *quotaWriter) decide() []quota.Proposal {
	now := q.Clock.Now()
	demands := q.pool.QuotaDemands()
	var proposals []quota.Proposal
	for range 2 {
		proposals = q.keeper.Propose(demands, now)
		limits := q.keeper.Limits()
		demands = q.pool.SetQuotaLimits(limits)
		q.planIfChanged(limits, demands)
	}
	q.reported.log(q.keeper, demands)
	return proposals
}

// planIfChanged causes a plan if a team that waits has another limit than before.
func (q *quotaWriter) planIfChanged(limits map[string]quota.Limit, demands map[string]quota.Demand) {
	for team, limit := range limits {
		if limit != q.limits[team] && demands[team].Waiting != (quota.Amount{}) {
			q.plan.send()
			break
		}
	}
	q.limits = limits
}
