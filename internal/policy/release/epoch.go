package release

import (
	"fmt"
	"strconv"
	"strings"
)

// Epoch numbers a version of the settings: the cluster ID in the upper half, a count from that
// cluster's bootstrap in the lower. A higher epoch is newer. Its text form is the two numbers with
// a point between, such as 3.17.
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

// String returns the text form, which ParseEpoch reads.
func (e Epoch) String() string {
	return fmt.Sprintf("%d.%d", uint32(e>>32), uint32(e))
}

// ParseEpoch reads the text form of an epoch.
func ParseEpoch(text string) (Epoch, error) {
	upper, lower, found := strings.Cut(text, ".")
	clusterID, upperErr := strconv.ParseUint(upper, 10, 32)
	count, lowerErr := strconv.ParseUint(lower, 10, 32)
	if !found || upperErr != nil || lowerErr != nil {
		return 0, fmt.Errorf("%q is not an epoch such as 3.17", text)
	}
	return NewEpoch(uint32(clusterID), uint32(count)), nil
}
