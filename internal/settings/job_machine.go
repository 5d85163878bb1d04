package settings

// JobMachine holds the resources of its machine that the process may use.
type JobMachine struct {
	Cores       float64 `yaml:"cores" validate:"gte=0"`       // 0: unknown
	MemoryMB    int     `yaml:"memoryMB" validate:"gte=0"`    // 0: no limit
	Descriptors int     `yaml:"descriptors" validate:"gte=0"` // that the process may have open; 0: not known
}
