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
	// resultMargin is how long before the first answer with a result a kill may have destroyed
	// copies of the result, and how long after that answer an attempt may still fail to receive it.
	resultMargin = time.Second
)

// claimedKey is a key with the first result that a caller received for it.
type claimedKey struct {
	name       string
	finishedAt time.Time // when the first answer with a result came; zero if there was none
	result     string    // the result in that answer
}

// isFinished reports whether any caller has received a result.
func (k *claimedKey) isFinished() bool { return !k.finishedAt.IsZero() }

// sendAttempts sends attempts at random servers until stop is closed. Half of them have new keys,
// the others repeat recent keys.
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

// drawKey returns a new key or a random recent one, with equal probability.
func (r *experiment) drawKey(random *rand.Rand) *claimedKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) == 0 || random.IntN(2) == 0 {
		r.keys = append(r.keys, &claimedKey{name: fmt.Sprintf("%d-%d", r.Seed, len(r.keys))})
	}
	return r.keys[max(0, len(r.keys)-1-random.IntN(recentKeys))]
}

// sendAttempt sends one attempt and records its outcome.
func (r *experiment) sendAttempt(ctx context.Context, key *claimedKey, name string) {
	id := faultinjection.NewRequestID()
	r.mu.Lock()
	r.serverOfAttempt[id] = name
	r.row.Attempts++
	r.mu.Unlock()
	startedAt := time.Now()
	response := r.fleet.SendRequest(ctx, faultinjection.Attempt{
		Server:      name,
		ID:          id,
		Key:         key.name,
		Timeout:     callerTimeout,
		AnswerGrace: healTimeout,
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

// recordResult checks a result against the run log and against the result that earlier callers
// received within the retention window. The mutex is held.
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

// isPromised reports whether an attempt must receive the key's result: a caller received it at
// least resultMargin before the attempt, the retention window has not ended, and since then no
// majority of its replicas was killed and no other fault disturbed the replicas. The mutex is held.
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

// killsSince counts the kills after a time. The mutex is held.
func (r *experiment) killsSince(since time.Time) (count int) {
	for _, at := range r.kills {
		if at.After(since) {
			count++
		}
	}
	return count
}
