package cli

import (
	"log/slog"
	"os"

	"swiftcourse/internal/config"
	"swiftcourse/internal/server"
)

// reloader reloads a server's configuration while the server runs.
type reloader struct {
	startup      *config.Startup // as read at the start
	operatorPath string          // path of the operator's file, "" for none
	server       *server.Server
	fleet        Fleet // nil if no fleet agent runs
}

// reload applies the platform's configuration and the operator's file, or neither if one of them is
// invalid.
func (r *reloader) reload() {
	addresses, ignoredKeys, startupErr := r.startup.Reload(os.Getenv)
	operator, operatorErr := config.LoadOperatorSettings(r.operatorPath)
	for _, err := range []error{startupErr, operatorErr} {
		if err != nil {
			slog.Info("reload_rejected", "err", err)
		}
	}
	if startupErr != nil || operatorErr != nil {
		return
	}
	for _, key := range ignoredKeys {
		slog.Info("reload_ignored", "key", key)
	}
	slog.Info("config_reloaded",
		"executor", addresses.Executor,
		"upstream", addresses.Upstream,
		"registry", addresses.Registry,
		"connection_admission", operator.ConnLimit.Enabled,
	)
	r.server.SetEndpoints(addresses)
	if r.fleet != nil {
		r.fleet.Reload(operator)
		return
	}
	r.server.ReloadConfig(operator)
}
