// Package config reads and validates the configuration of a server and fills in its defaults.
//
// There are two sources. The platform's configuration is a JSON file whose path is in an
// environment variable; Load returns it as a Startup, with the settings of the deployment converted
// for package admission. The operator's file is optional and has the settings that the platform
// does not provide, such as the limits on connections; LoadOperatorSettings returns it as
// OperatorSettings. A release, which is a text in the format of the operator's file and is sent to
// the whole fleet, may override some of these settings.
//
// Every value is validated: an unknown key, a missing value and a value out of range are reported
// as a FieldError. The package keeps no state, and the caller owns the values that it returns.
package config
