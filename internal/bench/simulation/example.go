package simulation

import _ "embed"

// ExampleScenario is a scenario to begin with: a small fleet at nine tenths of what it can do, with
// a crash, a drain and a slow server.
//
//go:embed example.json
var ExampleScenario []byte
