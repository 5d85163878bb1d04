package configuration

// Version orders accepted configurations. It is the version that the platform's
// store assigned to the write of the configuration; 0 means that there is none
// yet.
type Version uint64
