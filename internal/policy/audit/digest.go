package audit

import (
	"fmt"
	"maps"
	"slices"

	"swiftcourse/internal/policy/release"
)

// logSource is the source of the digests that the release log itself contains.
const logSource = "the release log"

// digestTable holds the sources that reported each digest of each epoch. An epoch must have only
// one digest.
type digestTable map[release.Epoch]map[string][]string

func (d digestTable) add(epoch release.Epoch, digest, source string) {
	if epoch == 0 {
		return
	}
	if d[epoch] == nil {
		d[epoch] = map[string][]string{}
	}
	d[epoch][digest] = append(d[epoch][digest], source)
}

// addLog adds the digests of a release log's current, next and previous versions and of its
// history.
func (d digestTable) addLog(log *release.Log) {
	for _, version := range []*release.Version{&log.Current, log.Next, log.Previous} {
		if version != nil {
			d.add(version.Epoch, version.Digest, logSource)
		}
	}
	for _, entry := range log.History {
		d.add(entry.Epoch, entry.Digest, logSource)
	}
}

func (d digestTable) addAccount(a Account) {
	for _, interval := range a.Intervals {
		d.add(interval.Epoch, interval.Digest, a.Name)
	}
}

// conflicts returns an alarm for each epoch with more than one digest, ordered by epoch.
func (d digestTable) conflicts() []string {
	var alarms []string
	for _, epoch := range slices.Sorted(maps.Keys(d)) {
		digests := d[epoch]
		if len(digests) < 2 {
			continue
		}
		alarm := fmt.Sprintf("epoch %s has %d digests:", epoch, len(digests))
		for _, digest := range slices.Sorted(maps.Keys(digests)) {
			sources := slices.Compact(digests[digest])
			alarm += fmt.Sprintf(" %.12s by %s and %d more;", digest, sources[0], len(sources)-1)
		}
		alarms = append(alarms, alarm)
	}
	return alarms
}
