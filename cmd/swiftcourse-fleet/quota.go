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

// The names of quotas in the operator's file.
const (
	callsQuota        = "calls"   // limits the concurrent calls to the downstream service
	tenantQuotaPrefix = "tenant/" // begins the names of tenants' quotas, which limit request rates
)

// The keys of quotas in the operator's file.
const (
	limitKey      = "budget"
	maxServersKey = "budget-servers"
)

// errQuotasOff rejects a release that has quotas for a server that started without them.
var errQuotasOff = &config.FieldError{
	Key:    maxServersKey,
	Reason: "quotas are off in this server's own file, and can't be switched on while serving",
}

// parseQuotas reads the quotas of the operator's file; there are none without budget-servers.
func parseQuotas(operator *config.OperatorSettings, startup *config.Startup) (quota.Config, error) {
	quotas := quota.Config{
		LeaseSeconds:  operator.Fleet.LeaseDuration.Seconds(),
		FloorFraction: float64(operator.Quota.FloorFraction),
		MaxServers:    operator.Quota.MaxServers,
	}
	if operator.Quota.MaxServers == 0 {
		if len(operator.Quota.Limits) > 0 {
			return quotas, &config.FieldError{Key: limitKey, Reason: "needs " + maxServersKey}
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

// parseLimit reads tenant/NAME=RATE or calls=NUMBER.
func parseLimit(text string, startup *config.Startup) (quota.Limit, error) {
	name, number, hasNumber := strings.Cut(text, "=")
	most, err := strconv.ParseFloat(number, 64)
	isKnown := name == callsQuota || strings.HasPrefix(name, tenantQuotaPrefix)
	if !hasNumber || err != nil || !isKnown {
		return quota.Limit{}, &config.FieldError{
			Key:    limitKey,
			Value:  text,
			Reason: "is neither tenant/NAME=RATE nor calls=NUMBER",
		}
	}
	limit := quota.Limit{Name: name, Max: most}
	if name == callsQuota {
		limit.Concurrent = true
		limit.LingerSeconds = maxCallSeconds(startup)
	}
	return limit, nil
}

// maxCallSeconds returns how long a call may be in flight downstream: it ends with its request, and
// an abandoned one lingers for as long as the platform says.
func maxCallSeconds(startup *config.Startup) float64 {
	longest := 0.0
	for _, class := range startup.Settings.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest + startup.Settings.Downstream.AbandonedCallLifetime
}

// quotaConfig returns the fleet agent's configuration of quotas, nil if there are none.
func (p *fleetProgram) quotaConfig(operator *config.OperatorSettings) *fleet.QuotaConfig {
	if operator.Quota.MaxServers == 0 {
		return nil
	}
	return &fleet.QuotaConfig{
		Settings:     p.settings.quotaConfig,
		OnAllowances: func(held []quota.Allowance) { p.allowances.setQuotas(p.convertAllowances(held)) },
	}
}

// convertAllowances returns what this server may use in the serving loop's terms and time. Quotas
// of tenants that this server does not have are left out.
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

// fleetUsage converts what the server used of its allowances.
func fleetUsage(used []server.QuotaUsage) []fleet.Usage {
	converted := make([]fleet.Usage, len(used))
	for i, usage := range used {
		converted[i] = fleet.Usage(usage)
	}
	return converted
}

// logQuotas logs that quotas are on.
func logQuotas(operator *config.OperatorSettings) {
	slog.Info("quotas_enabled",
		"limits", len(operator.Quota.Limits),
		"floor_fraction", float64(operator.Quota.FloorFraction),
		"max_servers", operator.Quota.MaxServers,
	)
}
