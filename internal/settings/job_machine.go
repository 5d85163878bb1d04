package settings

// JobMachine holds the resources of its machine that the process may use.
type JobMachine struct {
	Cores    float64 `yaml:"cores" validate:"gte=0"`    // 0: unknown
	MemoryMB int     `yaml:"memoryMB" validate:"gte=0"` // 0: no limit
}
