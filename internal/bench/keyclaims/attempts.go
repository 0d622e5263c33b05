package keyclaims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

const (
	// recentKeys is the number of the latest keys from which attempts are drawn.
	recentKeys = 20
	// resultMargin is how long before its answer a result may have been lost by a kill, and after
	// which it is promised.
	resultMargin = time.Second
)

// claimedKey is what callers know of a key.
type claimedKey struct {
	name       string
	finishedAt time.Time // of the first answer with a result; zero for none
	result     string    // of that answer
}

// isFinished reports whether a caller has a result.
func (k *claimedKey) isFinished() bool { return !k.finishedAt.IsZero() }

// sendAttempts sends attempts until stopped: half of them of new keys, the others of recent keys,
// most of those at other servers.
func (r *experiment) sendAttempts(ctx context.Context, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.Seed, 13))
	for ctx.Err() == nil {
		interval := timing.Seconds(random.ExpFloat64() / r.AttemptRate)
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		key := r.drawKey(random)
		name := r.fleet.Names[random.IntN(len(r.fleet.Names))]
		r.attempts.Go(func() { r.sendAttempt(ctx, key, name) })
	}
}

// drawKey draws a new key or a recent one.
func (r *experiment) drawKey(random *rand.Rand) *claimedKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) == 0 || random.IntN(2) == 0 {
		r.keys = append(r.keys, &claimedKey{name: fmt.Sprintf("%d-%d", r.Seed, len(r.keys))})
	}
	return r.keys[max(0, len(r.keys)-1-random.IntN(recentKeys))]
}

// sendAttempt sends one attempt and records its end.
func (r *experiment) sendAttempt(ctx context.Context, key *claimedKey, name string) {
	id := faultinjection.NewRequestID()
	r.mu.Lock()
	r.serverOfAttempt[id] = name
	r.row.Attempts++
	r.mu.Unlock()
	startedAt := time.Now()
	response := r.fleet.SendRequest(ctx, faultinjection.Attempt{
		Server:   name,
		ID:       id,
		Key:      key.name,
		Timeout:  callerTimeout,
		Patience: healTimeout,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	switch response.Outcome {
	case faultinjection.Unreachable, faultinjection.ConnectionLost:
		r.row.ConnectionsLost++
	case faultinjection.Unanswered:
		r.row.Unanswered++
	case faultinjection.Finished:
		r.row.Finished++
		r.recordResult(key, response.Result, startedAt)
	case faultinjection.Rejected:
		r.row.Rejected++
	default:
		r.row.Abandoned++
		if r.isPromised(key, startedAt, time.Now()) {
			r.row.LostResults++
		}
	}
}

// recordResult checks a result against the run log and against what callers got before. The mutex
// is held.
func (r *experiment) recordResult(key *claimedKey, result string, startedAt time.Time) {
	isRetained := key.isFinished() && startedAt.Before(key.finishedAt.Add(retentionWindow))
	if !r.runLog.HasResult(key.name, result) || isRetained && result != key.result {
		r.row.WrongAnswers++
	}
	if !key.isFinished() {
		key.finishedAt = time.Now()
		key.result = result
	}
}

// isPromised reports whether a key's result has to be known: a caller had it for a while, and since
// then most of its replicas were not killed and no fault hindered them. The mutex is held.
func (r *experiment) isPromised(key *claimedKey, startedAt, now time.Time) bool {
	if !key.isFinished() || !startedAt.After(key.finishedAt.Add(resultMargin)) {
		return false
	}
	if !now.Before(key.finishedAt.Add(retentionWindow)) {
		return false
	}
	kills := r.killsSince(key.finishedAt.Add(-resultMargin))
	return kills <= r.ReplicationFactor/2 && !r.wasDisturbed(key.finishedAt, now)
}

// killsSince counts the kills since a time. The mutex is held.
func (r *experiment) killsSince(since time.Time) (count int) {
	for _, at := range r.kills {
		if at.After(since) {
			count++
		}
	}
	return count
}
