// Package config reads, checks and completes everything that a server is told from outside.
//
// There are two sources. The platform's configuration is one JSON file that the environment names;
// Load gives it as a Startup, with the settings of the deployment as package admission takes them.
// The operator's file is optional and sets what goes beyond the platform; LoadOperatorSettings
// gives it as OperatorSettings, over which a release may be laid.
//
// Nothing is used that was not checked: a wrong key, a value out of its range or a missing one is
// reported as a FieldError that names its place. The values returned are the caller's; the package
// keeps no state.
package config
