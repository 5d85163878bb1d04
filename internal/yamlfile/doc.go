// Package yamlfile reads the YAML documents that people write: strictly, with
// checks by struct tag, and with the line of every fault.
package yamlfile
