package configfile

import (
	"github.com/goccy/go-yaml"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// ParseQuestionnaire parses and checks data, the content of the file called
// name, as the answers to a questionnaire. An error is of type problem.Findings
// and lists the faults with their lines.
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

// ParseConfiguration parses and checks data, the content of the file called
// name, as a configuration. An error is of type problem.Findings and lists the
// faults with their lines.
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

// Render encodes c as YAML. ParseConfiguration reads it back.
func Render(c *configuration.Configuration) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(c, yaml.IndentSequence(true))
	if err != nil {
		return nil, problem.Wrap(problem.Internal, problem.StepConfiguration, "", err)
	}
	return data, nil
}
