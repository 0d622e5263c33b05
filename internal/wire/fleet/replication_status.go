package fleet

import "swiftcourse/internal/policy/replication"

func encodeReplicationStatus(status *replication.Status) *CopiesState {
	if status == nil {
		return nil
	}
	return &CopiesState{
		Cold:       uint32(status.CatchingUp),
		Differ:     uint32(status.OutOfSync),
		Learned:    uint64(status.CaughtUpByPeers),
		Aged:       uint64(status.CaughtUpByTimeout),
		Mended:     uint64(status.RepairedRecords),
		Alarms:     uint64(status.ConflictingResults),
		Records:    uint64(status.Records),
		Bytes:      uint64(status.Bytes),
		Dropped:    uint64(status.DroppedResults),
		Flipped:    uint64(status.CorruptedRecords),
		Claims:     uint64(status.ActiveClaims),
		Promised:   uint64(status.ReplicatedResults),
		Unpromised: uint64(status.UnreplicatedResults),
		Holder:     status.IsReplica,
		Plan:       status.ConfigDigest,
	}
}

func decodeReplicationStatus(encoded *CopiesState) *replication.Status {
	return &replication.Status{
		CatchingUp:          int(encoded.Cold),
		OutOfSync:           int(encoded.Differ),
		CaughtUpByPeers:     int(encoded.Learned),
		CaughtUpByTimeout:   int(encoded.Aged),
		RepairedRecords:     int(encoded.Mended),
		ConflictingResults:  int(encoded.Alarms),
		Records:             int(encoded.Records),
		Bytes:               int(encoded.Bytes),
		DroppedResults:      int(encoded.Dropped),
		CorruptedRecords:    int(encoded.Flipped),
		ActiveClaims:        int(encoded.Claims),
		ReplicatedResults:   int(encoded.Promised),
		UnreplicatedResults: int(encoded.Unpromised),
		IsReplica:           encoded.Holder,
		ConfigDigest:        encoded.Plan,
	}
}
