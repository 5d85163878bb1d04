package configuration

import (
	"math"
	"time"

	"persimmonbay/internal/fleet"
)

// SparePool is the name that Generate gives the spare pool, whose instances
// replace those drained in other pools.
const SparePool = "spare"

// The silence limit of a service is the time in which people expect an answer
// over silenceLimitDivisor, between minSilenceLimit and maxSilenceLimit.
const (
	silenceLimitDivisor = 4
	minSilenceLimit     = 250 * time.Millisecond
	maxSilenceLimit     = 2 * time.Second
)

// classWeights are the shares of the fleet that are guaranteed to the classes
// under overload.
var classWeights = []ClassShare{
	{Class: fleet.Urgent, Weight: 5},
	{Class: fleet.Normal, Weight: 3},
	{Class: fleet.Background, Weight: 2},
}

// Generate returns the configuration that is derived from the answers. The same
// answers always give the same configuration.
func Generate(q *Questionnaire) *Configuration {
	c := &Configuration{Organisation: q.Organisation}
	c.Classes = append(c.Classes, classWeights...)
	for i := range q.Teams {
		c.Teams = append(c.Teams, generateTeam(&q.Teams[i]))
	}
	for i := range q.Services {
		c.Pools = append(c.Pools, Pool{Name: q.Services[i].Name})
		c.Services = append(c.Services, generateService(&q.Services[i]))
	}
	c.Pools = append(c.Pools, Pool{Name: SparePool, Spare: true})
	c.Jobs = generateJobs(q.Jobs)
	return c
}

func generateTeam(a *TeamAnswers) Team {
	return Team{Name: a.Name, TopClass: topClass(a.LateMeans), Weight: teamWeight(a.People)}
}

// topClass returns the most urgent class for a team, by the effect that late
// answers or late work have on its people: harm, annoyance or nothing.
func topClass(lateMeans string) fleet.Class {
	switch lateMeans {
	case "harm":
		return fleet.Urgent
	case "annoyance":
		return fleet.Normal
	}
	return fleet.Background
}

// teamWeight returns a weight that grows with the logarithm of the number of
// people, so that a large team cannot crowd out a small one.
func teamWeight(people int) int {
	return 1 + int(math.Log2(float64(max(people, 1))))
}

func generateService(a *ServiceAnswers) Service {
	return Service{
		Name:               a.Name,
		Pool:               a.Name,
		AvailabilityBudget: availabilityBudget(a),
		Slots:              a.AtOncePerRunner,
		Connections:        a.Connections,
		Timeout:            a.AnswerWithin,
		SilenceLimit:       min(max(a.AnswerWithin/silenceLimitDivisor, minSilenceLimit), maxSilenceLimit),
		NonIdempotent:      nonIdempotentRoutes(a.MustNotRepeat),
	}
}

// availabilityBudget returns the share of runners that may be away at once,
// rounded to thousandths. It allows for at least one runner, since otherwise
// none could be maintained.
func availabilityBudget(a *ServiceAnswers) float64 {
	away := float64(max(a.MayBeAway, 1)) / float64(a.Runners)
	return math.Round(min(away, 1)*1000) / 1000
}

func nonIdempotentRoutes(paths []string) []Route {
	routes := make([]Route, 0, len(paths))
	for _, p := range paths {
		routes = append(routes, Route{Method: "POST", PathPrefix: p})
	}
	return routes
}
