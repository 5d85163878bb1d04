package configuration

import (
	"math"
	"time"

	"persimmonbay/internal/fleet"
)

// SparePool is the name of the pool whose instances replace drained ones.
const SparePool = "spare"

// Bounds of the silence limit, as a share of the time in which people expect
// an answer and as durations.
const (
	silenceShare = 4
	silenceFloor = 250 * time.Millisecond
	silenceCeil  = 2 * time.Second
)

// Weights of the classes: what each keeps of the fleet in a flood.
var classWeights = []ClassShare{
	{Class: fleet.Urgent, Weight: 5},
	{Class: fleet.Normal, Weight: 3},
	{Class: fleet.Background, Weight: 2},
}

// Generate returns the configuration that follows from the answers. The same
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

// topClass returns the most urgent class of those whose answers or work, when
// late, do what lateMeans says.
func topClass(lateMeans string) fleet.Class {
	switch lateMeans {
	case "harm":
		return fleet.Urgent
	case "annoyance":
		return fleet.Normal
	}
	return fleet.Background
}

// teamWeight grows with the logarithm of the people, so that a large team
// cannot crowd out a small one.
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
		SilenceLimit:       min(max(a.AnswerWithin/silenceShare, silenceFloor), silenceCeil),
		NonIdempotent:      nonIdempotentRoutes(a.MustNotRepeat),
	}
}

// availabilityBudget is the share of runners that may be away, and never less
// than one runner, since none could be maintained otherwise.
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
