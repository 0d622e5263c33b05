package config

// expectedValues describes the valid values of each key of the operator's file, for errors.
var expectedValues = map[string]string{
	"door":                      "on or off",
	"door-known":                "prefixes such as 10.1.0.0/16, at most 256; the key may be repeated",
	"door-reserve":              "a percentage of the connection slots, from 0% to 90%",
	"door-per-address":          "a number of connections up to 1000000, 0 for no limit",
	"door-per-prefix":           "a number of connections up to 1000000, 0 for no limit",
	"door-arrivals-per-address": "new connections per second, up to 1000000, 0 for no limit",
	"door-arrivals-per-prefix":  "new connections per second, up to 1000000, 0 for no limit",
	"door-prefix-ipv4":          "bits, from 8 to 32",
	"door-prefix-ipv6":          "bits, from 16 to 128",
	"door-lobby":                "a number of slots, from 1 to 1024",
	"door-remember":             "a number of addresses, from 64 to 1000000; each takes 300 bytes",
	"door-earn":                 "a number of requests, from 1 to 60",
	"door-forget":               "a duration such as 10m, from 1s to 24h",
	"door-come-back":            "a duration such as 200ms, from 1ms to 1h",
	"door-come-back-most":       "a duration from door-come-back to 1h",
	"door-share":                "a percentage of a core, from 1% to 100%",

	"fleet":          "on or off",
	"fleet-listen":   "an address such as 10.0.0.4:7946",
	"fleet-control":  "an address such as 127.0.0.1:7950, for operators",
	"fleet-voters":   "names with addresses, such as n1=10.0.0.4:7946, at most 15; the key may be repeated",
	"fleet-join":     "addresses of other servers, at most 256; the key may be repeated",
	"fleet-lease":    "a duration such as 6s, from 1s to 10m",
	"fleet-behind":   "a duration such as 10s, from 1s to 1h",
	"fleet-silent":   "keep, shield or leave",
	"fleet-most-out": "a percentage of the fleet, from 0% to 100%",
	"fleet-forget":   "a duration from fleet-lease to 24h",
	"fleet-wave":     "a duration such as 30s, from 0s to 1h",
	"fleet-halt":     "a confidence that a release does harm, from 50% to 100%",
	"fleet-below":    "on or off",
	"fleet-counts":   "on or off",
	"fleet-zone":     "a name of at most 64 characters",

	"replica-holders": "names, each with an optional zone and weight, such as n1 " +
		"n2/east n3/west/2, at most 64; the key may be repeated",
	"replica-keyed": "classes whose requests have an idempotency key as their " +
		"subject, at most 64; the key may be repeated",
	"replica-copies":    "a number of copies, from 1 to 7",
	"replica-window":    "a duration such as 1m, from 1s to 24h",
	"replica-records":   "a number of keys, from 1000 to 10000000; each takes 400 bytes and its result",
	"replica-memory-mb": "megabytes, from 1 to 65536",
	"replica-callers":   "on or off",
	"replica-rate-kb":   "kilobytes per second, from 16 to 1048576",

	"budget": "quotas of the whole fleet such as tenant/acme=100 (requests per second) or " +
		"calls=40 (concurrent calls), at most 16384; the key may be repeated",
	"budget-floor":   "a percentage of each quota, from 1% to 90%",
	"budget-servers": "the maximum number of servers in the fleet, from 1 to 4096, 0 for no quotas",

	"forward-to":    "workers with addresses, such as w1=10.0.0.9:8000, at most 4096; the key may be repeated",
	"forward-slots": "a number of requests up to 1000000, 0 for the number of the workers' cores",
}
