package replication

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// registerModel is what claims of one key look like from outside: a register that one claim at a
// time may take, that may be released unused, and that keeps its first result. Its state is the
// ID of the request that took it, "" for none.
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
		return true, owner // the outcome is not known
	},
	Equal: func(a, b any) bool { return a == b },
}

// registerInput is a claim of a key, or the release of one.
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

// TestClaims_HistoriesMatchRegister looks for an order in which the recorded claims could have
// happened one by one.
func TestClaims_HistoriesMatchRegister(t *testing.T) {
	operations := 0
	rapid.Check(t, func(t *rapid.T) {
		c := playSchedule(t, rapid.Uint64().Draw(t, "seed"))
		operations += len(c.history)
		if !porcupine.CheckOperations(registerModel, c.history) {
			t.Fatalf("no order of these claims explains their outcomes")
		}
	})
	if operations < 5000 {
		t.Errorf("%d operations: too few to show anything", operations)
	}
}

// TestRegisterModel_RejectsTwoRuns checks that the model finds a history with a fault.
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
		t.Error("two runs of one key pass")
	}
}
