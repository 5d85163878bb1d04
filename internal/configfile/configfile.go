package configfile

import (
	"github.com/goccy/go-yaml"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// ParseQuestionnaire reads the answers in data, the content of the file called
// name. Faults are problem.Findings.
func ParseQuestionnaire(name string, data []byte) (*configuration.Questionnaire, error) {
	q := &configuration.Questionnaire{}
	document, err := yamlfile.Decode(name, data, q)
	if err != nil {
		return nil, err
	}
	if err := document.Locate(configuration.CheckQuestionnaire(q)).Err(); err != nil {
		return nil, err
	}
	return q, nil
}

// ParseConfiguration reads and checks the configuration in data, the content
// of the file called name. Faults are problem.Findings.
func ParseConfiguration(name string, data []byte) (*configuration.Configuration, error) {
	c := &configuration.Configuration{}
	document, err := yamlfile.Decode(name, data, c)
	if err != nil {
		return nil, err
	}
	if err := document.Locate(configuration.Check(c)).Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Render writes c as YAML.
func Render(c *configuration.Configuration) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(c, yaml.IndentSequence(true))
	if err != nil {
		return nil, problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	return data, nil
}
