package settings

// Machine holds the resources of its machine that a process may use.
type Machine struct {
	Cores       float64 `yaml:"cores" validate:"gte=0"`       // 0: unknown
	MemoryMB    int     `yaml:"memoryMB" validate:"gte=0"`    // 0: no limit
	Descriptors int     `yaml:"descriptors" validate:"gte=0"` // that the process may have open; 0: not known
}
