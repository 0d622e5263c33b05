package release

import (
	"fmt"
	"strconv"
	"strings"
)

// Epoch is the number of a version of the settings. The upper 32 bits are the cluster ID, the lower
// 32 bits a count that starts at 1 with the bootstrap of that cluster. A higher epoch is newer. The
// text form is the two numbers separated by a dot, such as 3.17.
type Epoch uint64

// NewEpoch returns the epoch with the given cluster ID and count.
func NewEpoch(clusterID, count uint32) Epoch {
	return Epoch(clusterID)<<32 | Epoch(count)
}

// ClusterID returns the ID of the voter group that assigned the epoch. A group that is bootstrapped
// later has a higher ID.
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
