package configuration

// Configuration is the configuration of the whole fleet, as operators apply it.
// Settings of a single entry are in package settings.
type Configuration struct {
	Organisation string       `yaml:"organisation" validate:"required"`
	Classes      []ClassShare `yaml:"classes" validate:"required,dive"`
	Teams        []Team       `yaml:"teams" validate:"required,dive"`
	Pools        []Pool       `yaml:"pools" validate:"required,dive"`
	Services     []Service    `yaml:"services" validate:"required,dive"`
	Jobs         *Jobs        `yaml:"jobs,omitempty"` // nil: no team may run jobs
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Team returns the team with the given name.
func (c *Configuration) Team(name string) (*Team, bool) {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i], true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i], true
		}
	}
	return nil, false
}
