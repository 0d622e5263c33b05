package main

import (
	"sync"

	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/server"
)

// releaseSource is the source in error messages about the text of a release.
const releaseSource = "released"

// liveSettings has the settings in effect: the server's own operator's file, overridden by the
// fleet's release. The fleet agent and the process's signal handlers change them concurrently.
type liveSettings struct {
	startup *config.Startup
	server  *server.Server

	mu       sync.Mutex
	operator *config.OperatorSettings // settings of this server's own file
	release  string                   // text of the release
	quotas   quota.Config             // from the file and the release
}

// newLiveSettings returns the settings of a server that has received no release yet.
func newLiveSettings(
	startup *config.Startup, operator *config.OperatorSettings, srv *server.Server,
) (*liveSettings, error) {
	quotas, err := parseQuotas(operator, startup)
	if err != nil {
		return nil, err
	}
	return &liveSettings{startup: startup, server: srv, operator: operator, quotas: quotas}, nil
}

// apply makes the server use its own file overridden by the text of a release. If it returns an
// error, nothing has changed.
func (s *liveSettings) apply(release string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings, err := s.operator.WithRelease(releaseSource, release)
	if err != nil {
		return err
	}
	quotas, err := parseQuotas(settings, s.startup)
	if err != nil {
		return err
	}
	if s.operator.Quota.MaxServers == 0 && settings.Quota.MaxServers > 0 {
		return errQuotasOff
	}
	if err := s.server.ApplyConfig(settings); err != nil {
		return err
	}
	s.release = release
	s.quotas = quotas
	return nil
}

// reload makes the server use a new version of its own file, overridden by the release. If it
// returns an error, nothing has changed.
func (s *liveSettings) reload(operator *config.OperatorSettings) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings, err := operator.WithRelease(releaseSource, s.release)
	if err != nil {
		return err
	}
	if err := s.server.ApplyConfig(settings); err != nil {
		return err
	}
	s.operator = operator
	return nil
}

// quotaConfig returns the quotas in effect.
func (s *liveSettings) quotaConfig() quota.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas
}
