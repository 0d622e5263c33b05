package fleet

import "swiftcourse/internal/policy/replication"

func encodeReplicationStatus(status *replication.Status) *ReplicationStatus {
	if status == nil {
		return nil
	}
	return &ReplicationStatus{
		CatchingUp:          uint32(status.CatchingUp),
		OutOfSync:           uint32(status.OutOfSync),
		CaughtUpByPeers:     uint64(status.CaughtUpByPeers),
		CaughtUpByTimeout:   uint64(status.CaughtUpByTimeout),
		RepairedRecords:     uint64(status.RepairedRecords),
		ConflictingResults:  uint64(status.ConflictingResults),
		Records:             uint64(status.Records),
		Bytes:               uint64(status.Bytes),
		DroppedResults:      uint64(status.DroppedResults),
		CorruptedRecords:    uint64(status.CorruptedRecords),
		ActiveClaims:        uint64(status.ActiveClaims),
		ReplicatedResults:   uint64(status.ReplicatedResults),
		UnreplicatedResults: uint64(status.UnreplicatedResults),
		IsReplica:           status.IsReplica,
		ConfigDigest:        status.ConfigDigest,
	}
}

func decodeReplicationStatus(encoded *ReplicationStatus) *replication.Status {
	return &replication.Status{
		CatchingUp:          int(encoded.CatchingUp),
		OutOfSync:           int(encoded.OutOfSync),
		CaughtUpByPeers:     int(encoded.CaughtUpByPeers),
		CaughtUpByTimeout:   int(encoded.CaughtUpByTimeout),
		RepairedRecords:     int(encoded.RepairedRecords),
		ConflictingResults:  int(encoded.ConflictingResults),
		Records:             int(encoded.Records),
		Bytes:               int(encoded.Bytes),
		DroppedResults:      int(encoded.DroppedResults),
		CorruptedRecords:    int(encoded.CorruptedRecords),
		ActiveClaims:        int(encoded.ActiveClaims),
		ReplicatedResults:   int(encoded.ReplicatedResults),
		UnreplicatedResults: int(encoded.UnreplicatedResults),
		IsReplica:           encoded.IsReplica,
		ConfigDigest:        encoded.ConfigDigest,
	}
}
