package configuration

// Pool is a named set of instances. An instance belongs to exactly one
// of them.
type Pool struct {
	Name  string `yaml:"name" validate:"required,label"`
	Spare bool   `yaml:"spare"` // its instances replace those drained in other pools
}
