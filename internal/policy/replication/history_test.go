package replication

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// registerModel is a sequential model of the claims of one key for the linearizability checker.
// The key is a register that one request at a time can own. The owner may release it without a
// run; otherwise the register keeps the owner's result. The state is the ID of the owner, "" if
// there is none.
var registerModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		owner := state.(string)
		claim := input.(registerInput)
		outcome := output.(Outcome)
		switch {
		case claim.releases:
			return owner == claim.requestID, ""
		case outcome.Verdict == serving.ClaimGranted:
			return owner == "", claim.requestID
		case outcome.Verdict == serving.ClaimCached:
			return string(outcome.Result) == "result of "+owner, owner
		}
		return true, owner // other verdicts allow any owner
	},
	Equal: func(a, b any) bool { return a == b },
}

// registerInput is the claim of a key, or the release of a granted claim.
type registerInput struct {
	key       replicastore.Key
	requestID string
	releases  bool
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	var partitions [][]porcupine.Operation
	indexes := map[replicastore.Key]int{}
	for _, operation := range history {
		key := operation.Input.(registerInput).key
		index, found := indexes[key]
		if !found {
			index = len(partitions)
			indexes[key] = index
			partitions = append(partitions, nil)
		}
		partitions[index] = append(partitions[index], operation)
	}
	return partitions
}

// TestClaims_HistoriesAreLinearizable checks that the claims recorded in drawn schedules are
// linearizable with respect to registerModel.
func TestClaims_HistoriesAreLinearizable(t *testing.T) {
	operations := 0
	rapid.Check(t, func(t *rapid.T) {
		c := runSchedule(t, rapid.Uint64().Draw(t, "seed"))
		operations += len(c.history)
		if !porcupine.CheckOperations(registerModel, c.history) {
			t.Fatalf("a history of %d operations is not linearizable", len(c.history))
		}
	})
	if operations < 5000 {
		t.Errorf("got %d operations in all histories, want at least 5000", operations)
	}
}

// TestRegisterModel_RejectsTwoRuns checks that registerModel rejects a history in which a
// key runs twice.
func TestRegisterModel_RejectsTwoRuns(t *testing.T) {
	granted := func(requestID string, at int64) porcupine.Operation {
		return porcupine.Operation{
			Input:  registerInput{key: replicastore.Key{1}, requestID: requestID},
			Call:   at,
			Output: Outcome{Verdict: serving.ClaimGranted},
			Return: at + 1,
		}
	}
	if porcupine.CheckOperations(registerModel, []porcupine.Operation{granted("a", 1), granted("b", 3)}) {
		t.Error("a history with two runs of one key is linearizable, want it rejected")
	}
}
