package release

import (
	"fmt"
	"strconv"
	"strings"
)

// Epoch numbers a version of the settings: the cluster ID in the upper half, a count that starts at
// 1 with that cluster's bootstrap in the lower. A higher epoch is newer. Its text form is the two
// numbers with a dot between, such as 3.17.
type Epoch uint64

// NewEpoch returns the epoch with that cluster ID and count.
func NewEpoch(clusterID, count uint32) Epoch {
	return Epoch(clusterID)<<32 | Epoch(count)
}

// ClusterID returns the identity of the voter group that gave out the epoch. A group that is
// bootstrapped later has a higher one.
func (e Epoch) ClusterID() uint32 {
	return uint32(e >> 32)
}

// count returns the number of the epoch within its cluster ID, from 1.
func (e Epoch) count() uint32 {
	return uint32(e)
}

// String returns the text form, which ParseEpoch reads.
func (e Epoch) String() string {
	return fmt.Sprintf("%d.%d", e.ClusterID(), e.count())
}

// ParseEpoch reads the text form of an epoch.
func ParseEpoch(text string) (Epoch, error) {
	clusterText, countText, found := strings.Cut(text, ".")
	clusterID, clusterErr := strconv.ParseUint(clusterText, 10, 32)
	count, countErr := strconv.ParseUint(countText, 10, 32)
	if !found || clusterErr != nil || countErr != nil {
		return 0, fmt.Errorf("%q is not an epoch such as 3.17", text)
	}
	return NewEpoch(uint32(clusterID), uint32(count)), nil
}
