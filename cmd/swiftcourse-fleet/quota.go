package main

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/server"
)

// Names of quotas in the operator's file.
const (
	callsQuota        = "calls"   // limits the concurrent calls to the downstream service
	tenantQuotaPrefix = "tenant/" // followed by the tenant's name; limits the tenant's request rate
)

// Keys of the operator's file for quotas.
const (
	limitKey      = "budget"
	maxServersKey = "budget-servers"
)

// errQuotasOff is returned for a release with quotas if the server started without quotas.
var errQuotasOff = &config.FieldError{
	Key:    maxServersKey,
	Reason: "can't turn quotas on while the server runs; they are off in the server's own file",
}

// parseQuotas parses the quotas of the operator's file. There are none unless budget-servers is set.
func parseQuotas(operator *config.OperatorSettings, startup *config.Startup) (quota.Config, error) {
	quotas := quota.Config{
		LeaseSeconds:  operator.Fleet.LeaseDuration.Seconds(),
		FloorFraction: float64(operator.Quota.FloorFraction),
		MaxServers:    operator.Quota.MaxServers,
	}
	if operator.Quota.MaxServers == 0 {
		if len(operator.Quota.Limits) > 0 {
			return quotas, &config.FieldError{Key: limitKey, Reason: "requires " + maxServersKey + " to be at least 1"}
		}
		return quotas, nil
	}
	for _, text := range operator.Quota.Limits {
		limit, err := parseLimit(text, startup)
		if err != nil {
			return quotas, err
		}
		quotas.Limits = append(quotas.Limits, limit)
	}
	if err := quotas.Validate(); err != nil {
		return quotas, fmt.Errorf("%s: %w", limitKey, err)
	}
	return quotas, nil
}

// parseLimit parses a quota of the form tenant/NAME=RATE or calls=NUMBER.
func parseLimit(text string, startup *config.Startup) (quota.Limit, error) {
	name, number, hasNumber := strings.Cut(text, "=")
	maximum, err := strconv.ParseFloat(number, 64)
	isKnown := name == callsQuota || strings.HasPrefix(name, tenantQuotaPrefix)
	if !hasNumber || err != nil || !isKnown {
		return quota.Limit{}, &config.FieldError{
			Key:    limitKey,
			Value:  text,
			Reason: "is not of the form tenant/NAME=RATE or calls=NUMBER",
		}
	}
	limit := quota.Limit{Name: name, Max: maximum}
	if name == callsQuota {
		limit.Concurrent = true
		limit.MaxUseSeconds = maxCallSeconds(startup)
	}
	return limit, nil
}

// maxCallSeconds returns the maximum time that a call may be in flight downstream: the longest
// timeout of a request, plus the time for which the platform says that an abandoned call goes on.
func maxCallSeconds(startup *config.Startup) float64 {
	longest := 0.0
	for _, class := range startup.Settings.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest + startup.Settings.Downstream.AbandonedCallLifetime
}

// quotaConfig returns the fleet agent's configuration of quotas, or nil if quotas are off.
func (p *fleetProgram) quotaConfig(operator *config.OperatorSettings) *fleet.QuotaConfig {
	if operator.Quota.MaxServers == 0 {
		return nil
	}
	return &fleet.QuotaConfig{
		Settings:     p.settings.quotaConfig,
		OnAllowances: func(held []quota.Allowance) { p.allowances.setQuotas(p.convertAllowances(held)) },
	}
}

// convertAllowances converts allowances to the server's type, tenant indices and clock. It omits
// those of tenants that this server does not have.
func (p *fleetProgram) convertAllowances(held []quota.Allowance) []serving.Allowance {
	converted := make([]serving.Allowance, 0, len(held))
	for _, allowance := range held {
		tenant := noTenant
		if allowance.Name != callsQuota {
			index, known := p.startup.TenantIndex[strings.TrimPrefix(allowance.Name, tenantQuotaPrefix)]
			if !known {
				continue
			}
			tenant = index
		}
		converted = append(converted, serving.Allowance{
			Name:         allowance.Name,
			FleetMax:     allowance.FleetMax,
			Tenant:       tenant,
			Guaranteed:   allowance.Floor,
			LeasedShare:  allowance.LeasedShare,
			LeaseExpiry:  p.clock.ToSource(allowance.LeaseExpiry),
			BurstSeconds: quota.BurstSeconds,
			GrantNumber:  allowance.GrantNumber,
		})
	}
	return converted
}

// fleetUsage converts the server's usage of its allowances to the fleet agent's type.
func fleetUsage(used []server.QuotaUsage) []fleet.Usage {
	converted := make([]fleet.Usage, len(used))
	for i, usage := range used {
		converted[i] = fleet.Usage(usage)
	}
	return converted
}

// logQuotas logs that quotas are on, and their settings.
func logQuotas(operator *config.OperatorSettings) {
	slog.Info("quotas_enabled",
		"limits", len(operator.Quota.Limits),
		"floor_fraction", float64(operator.Quota.FloorFraction),
		"max_servers", operator.Quota.MaxServers,
	)
}
