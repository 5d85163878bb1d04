package poolmanager

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/quota"
)

// quotaLines writes the log lines on grants: each kind once a quotaLineInterval for a team.
type quotaLines struct {
	logger *zap.Logger
	clock  clockwork.Clock
	next   map[string]time.Time // by kind and team: before that, no further line is written
}

func newQuotaLines(log *zap.Logger, clock clockwork.Clock) *quotaLines {
	return &quotaLines{logger: log, clock: clock, next: make(map[string]time.Time)}
}

// quotaLineInterval bounds the volume of the lines.
const quotaLineInterval = 10 * time.Second

// maxQuotaLineTeams bounds the teams of which it is remembered when a line was written.
const maxQuotaLineTeams = 4096

func (l *quotaLines) due(kind, team string) bool {
	now, key := l.clock.Now(), kind+"/"+team
	if now.Before(l.next[key]) {
		return false
	}
	if len(l.next) >= maxQuotaLineTeams {
		clear(l.next)
	}
	l.next[key] = now.Add(quotaLineInterval)
	return true
}

// log writes which teams have less than they want, and whose grants exceed their cap.
func (l *quotaLines) log(k *quota.Keeper, demands map[string]quota.Demand) {
	for _, team := range k.Short() {
		if l.due("short", team) {
			l.logger.Info("team has no room left under its cap, tasks wait", zap.String("team", team),
				zap.Any("used", demands[team].Used), zap.Any("waiting", demands[team].Waiting), zap.Any("granted", k.Granted(team)))
		}
	}
	for _, team := range k.Exceeded() {
		if l.due("exceeded", team) {
			l.logger.Info("grants of all pools exceed the team's cap, the pool returns what ends", zap.String("team", team),
				zap.Any("used", demands[team].Used), zap.Any("granted", k.Granted(team)))
		}
	}
}
