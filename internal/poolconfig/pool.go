package poolconfig

// Pool is the configuration of the workers of one service.
type Pool struct {
	Service          string
	EnforcesCapacity bool // its workers refuse tasks that exceed their capacity
	Standby          bool // its machines are off until they are moved to another pool
	MaxConns         int  // maximum number of connections to one worker, from all processes
}
