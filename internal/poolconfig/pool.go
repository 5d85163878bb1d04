package poolconfig

// Pool is a service and how its workers behave.
type Pool struct {
	Service          string
	EnforcesCapacity bool // its workers refuse what does not fit
	Standby          bool // its machines are off until they are moved elsewhere
	MaxConns         int  // connections to one worker, from all processes together
}
