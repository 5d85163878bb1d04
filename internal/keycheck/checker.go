package keycheck

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/identity"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/telemetry"
)

// Checker admits calls. It is safe for concurrent use.
type Checker struct {
	policy      identity.Policy
	config      *poolconfig.InForce
	directories *identity.Directories
	reader      Reader
	sinceBoot   func() time.Duration // suspensions included
	log         *zap.Logger
	counters    *counters
	lines       *lineLimit
}

// New returns a checker for the configuration in force.
func New(policy identity.Policy, config *poolconfig.InForce, reader Reader, sinceBoot func() time.Duration, log *zap.Logger) *Checker {
	return &Checker{
		policy: policy, config: config, directories: identity.NewDirectories(), reader: reader, sinceBoot: sinceBoot, log: log,
		counters: &counters{}, lines: &lineLimit{},
	}
}

// readTimeout bounds how long a call waits for another read of the configuration.
const readTimeout = time.Second

// Check returns the verdict on a call, after another read of the configuration if its key
// is not known here.
func (c *Checker) Check(ctx context.Context, call identity.Call) identity.Verdict {
	arrived := c.sinceBoot()
	v := c.judge(call, arrived)
	if v.Outcome == identity.Unconfirmed {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if err := c.reader.ReadConfiguration(limited); err != nil {
			c.log.Debug("configuration not read for an unknown key", telemetry.ProblemFields(err)...)
		}
		v = c.judge(call, arrived)
	}
	c.record(v.Outcome)
	return v
}

// Recheck returns the outcome of a call that Check admitted as it would be now, after all
// of the call has arrived: its last bytes may come long after its first. A key that was
// known and is not any more was withdrawn, and needs no other read. A queue that was removed
// meanwhile still takes the call.
func (c *Checker) Recheck(call identity.Call) identity.Outcome {
	switch outcome := c.judge(call, 0).Outcome; outcome {
	case identity.UnknownKey, identity.Outdated:
		c.record(outcome)
		return outcome
	default:
		return identity.Admitted
	}
}

func (c *Checker) record(outcome identity.Outcome) {
	c.counters.count(outcome)
	if outcome != identity.Admitted {
		c.logRefusal(outcome)
	}
}

// Counts returns the number of calls by outcome.
func (c *Checker) Counts() map[string]int64 { return c.counters.byName() }

// judge judges a call that arrived at a time since boot. It reads the confirmation before
// the configuration: the other way around, an older configuration could pass for confirmed.
func (c *Checker) judge(call identity.Call, arrived time.Duration) identity.Verdict {
	confirmation := c.config.Confirmed()
	config := c.config.Get()
	now := c.sinceBoot()
	age, confirmed := confirmation.Age(now)
	return c.policy.Judge(call, identity.Knowledge{
		Configuration: config, Directory: c.directories.Of(config), Age: age, Confirmed: confirmed, Waited: now - arrived,
	})
}

func (c *Checker) logRefusal(outcome identity.Outcome) {
	now := c.sinceBoot()
	unlogged, ok := c.lines.allow(outcome, now)
	if !ok {
		return
	}
	age, confirmed := c.config.Confirmed().Age(now)
	c.log.Info("call not admitted", zap.Stringer("outcome", outcome), zap.Bool("confirmed", confirmed),
		zap.Duration("age", age), zap.Int64("version", c.version()), zap.Int64("unlogged", unlogged))
}

func (c *Checker) version() int64 {
	if config := c.config.Get(); config != nil {
		return config.Version
	}
	return 0
}
