package main

import (
	"sync"

	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/server"
)

// releaseSource is the name that errors have for the text of a release.
const releaseSource = "released"

// liveSettings are the settings that the server acts on: its own operator's file, and over it what
// the fleet released. The fleet agent and the process's signals change them.
type liveSettings struct {
	startup *config.Startup
	server  *server.Server

	mu       sync.Mutex
	operator *config.OperatorSettings // this server's file
	release  string                   // the text that is released
	quotas   quota.Config             // by both
}

// newLiveSettings returns the settings of a server that has heard of no release.
func newLiveSettings(
	startup *config.Startup, operator *config.OperatorSettings, srv *server.Server,
) (*liveSettings, error) {
	quotas, err := parseQuotas(operator, startup)
	if err != nil {
		return nil, err
	}
	return &liveSettings{startup: startup, server: srv, operator: operator, quotas: quotas}, nil
}

// apply has the server act on a released text over its own file, or returns an error and changes
// nothing.
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

// reload has the server act on its own file anew, under what is released, or returns an error and
// changes nothing.
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

// quotaConfig returns the quotas in force.
func (s *liveSettings) quotaConfig() quota.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas
}
