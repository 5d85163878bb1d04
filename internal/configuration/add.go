package configuration

import "persimmonbay/internal/problem"

// AddPool adds a pool that has no instances yet. The error is a
// problem.Conflict when a pool of this name exists.
func (c *Configuration) AddPool(name string) error {
	if _, exists := c.Pool(name); exists {
		return alreadyExists("pool", name)
	}
	c.Pools = append(c.Pools, Pool{Name: name})
	return nil
}

// AddTeam adds the team that is generated from the answers. The error is a
// problem.Conflict when a team of this name exists.
func (c *Configuration) AddTeam(a *TeamAnswers) error {
	if _, exists := c.Team(a.Name); exists {
		return alreadyExists("team", a.Name)
	}
	c.Teams = append(c.Teams, generateTeam(a))
	return nil
}

// AddService adds the service that is generated from the answers. It runs on
// pool or, when pool is empty, on the pool with the service's own name, which
// is added if it does not exist. The error is a problem.Conflict when the
// service exists and a problem.NotFound when pool does not.
func (c *Configuration) AddService(a *ServiceAnswers, pool string) error {
	if _, exists := c.Service(a.Name); exists {
		return alreadyExists("service", a.Name)
	}
	service := generateService(a)
	if pool != "" {
		service.Pool = pool
	}
	if _, exists := c.Pool(service.Pool); !exists && pool == "" {
		c.Pools = append(c.Pools, Pool{Name: service.Pool})
	}
	if _, exists := c.Pool(service.Pool); !exists {
		return problem.New(problem.NotFound, problem.StepConfiguration, pool, "no such pool; 'pool create' adds one and 'pool list' lists all pools")
	}
	c.Services = append(c.Services, service)
	return nil
}

func alreadyExists(what, name string) error {
	return problem.New(problem.Conflict, problem.StepConfiguration, name, "a "+what+" of this name already exists; '"+what+" show' shows it")
}
