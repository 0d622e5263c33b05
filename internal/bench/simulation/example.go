package simulation

import _ "embed"

// ExampleScenario is an example of a scenario: a small fleet at nine tenths of its capacity, with a
// crash, a drain and a slow server.
//
//go:embed example.json
var ExampleScenario []byte
