package configuration

// Version orders accepted configurations. It is the version that the
// platform's store gave the write; 0 means none yet.
type Version uint64
