package configuration

import "persimmonbay/internal/problem"

// AddPool adds a pool without instances.
func (c *Configuration) AddPool(name string) error {
	if _, exists := c.Pool(name); exists {
		return existing("pool", name)
	}
	c.Pools = append(c.Pools, Pool{Name: name})
	return nil
}

// AddTeam adds the team that follows from the answers.
func (c *Configuration) AddTeam(a *TeamAnswers) error {
	if _, exists := c.Team(a.Name); exists {
		return existing("team", a.Name)
	}
	c.Teams = append(c.Teams, generateTeam(a))
	return nil
}

// AddService adds the service that follows from the answers. pool is the pool
// it runs on; empty: one of the service's name, which is added if need be.
func (c *Configuration) AddService(a *ServiceAnswers, pool string) error {
	if _, exists := c.Service(a.Name); exists {
		return existing("service", a.Name)
	}
	service := generateService(a)
	if pool != "" {
		service.Pool = pool
	}
	if _, exists := c.Pool(service.Pool); !exists && pool == "" {
		c.Pools = append(c.Pools, Pool{Name: service.Pool})
	}
	if _, exists := c.Pool(service.Pool); !exists {
		return problem.New(problem.NotFound, problem.StepConfiguration, pool, "no such pool; 'pool create' makes one and 'pool list' shows them")
	}
	c.Services = append(c.Services, service)
	return nil
}

func existing(what, name string) error {
	return problem.New(problem.Conflict, problem.StepConfiguration, name, "there is such a "+what+" already; '"+what+" show' shows it")
}
