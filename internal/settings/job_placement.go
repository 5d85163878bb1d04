package settings

// JobPlacement says how the place of a task changes its run time.
type JobPlacement struct {
	SpreadFactor float64 `yaml:"spreadFactor" validate:"gte=0"` // how many times as long a task takes away from its data; up to 1: not known
}
