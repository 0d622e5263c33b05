// Package config reads and validates the configuration of a server and fills in its defaults.
//
// There are two sources. The platform's configuration is one JSON file that an environment variable
// names; Load returns it as a Startup, which has the settings of the deployment as package admission
// takes them. The operator's file is optional and sets what the platform knows nothing of, such as
// the limits on connections; LoadOperatorSettings returns it as OperatorSettings. A release, a text
// in the format of the operator's file that the whole fleet receives, may override some of them.
//
// Every value is validated: an unknown key, a missing value or one out of its range is reported as a
// FieldError. The values returned belong to the caller; the package keeps no state.
package config
