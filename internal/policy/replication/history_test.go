package replication

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
	state "swiftcourse/internal/replicastore"
)

// registerModel is what claims of one key are to look like from outside: a register that one claim at a time may take, that may be given back unused, and
// that keeps its first result.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) (byKey [][]porcupine.Operation) {
		at := map[state.Key]int{}
		for _, op := range history {
			k := op.Input.(registerInput).key
			i, seen := at[k]
			if !seen {
				i = len(byKey)
				at[k] = i
				byKey = append(byKey, nil)
			}
			byKey[i] = append(byKey[i], op)
		}
		return byKey
	},
	Init: func() any { return "" },
	Step: func(holds, input, output any) (bool, any) {
		in, out := input.(registerInput), output.(Outcome)
		switch {
		case in.releases:
			return holds == in.requestID, ""
		case out.Verdict == serving.ClaimGranted:
			return holds == "", in.requestID
		case out.Verdict == serving.ClaimCached:
			return string(out.Result) == "result of "+holds.(string), holds
		}
		return true, holds // told that nobody can tell
	},
	Equal: func(a, b any) bool { return a == b },
}

// registerInput is a claim, or that one is given back.
type registerInput struct {
	key       state.Key
	requestID string
	releases  bool
}

// TestClaims_HistoriesMatchRegister checks what was recorded, with a library, for an order in which it could have happened one by one.
func TestClaims_HistoriesMatchRegister(t *testing.T) {
	operations := 0
	rapid.Check(t, func(t *rapid.T) {
		w := playSchedule(t, rapid.Uint64().Draw(t, "seed"))
		operations += len(w.history)
		if !porcupine.CheckOperations(registerModel, w.history) {
			t.Fatalf("no order of these claims explains what was told")
		}
	})
	if operations < 5000 {
		t.Errorf("%d operations: too few to show anything", operations)
	}
	taken := func(key byte, id string, ruling serving.ClaimVerdict, at int64) porcupine.Operation {
		return porcupine.Operation{Input: registerInput{key: state.Key{key}, requestID: id}, Call: at, Output: Outcome{Verdict: ruling}, Return: at + 1}
	}
	if porcupine.CheckOperations(registerModel, []porcupine.Operation{taken(1, "a", serving.ClaimGranted, 1), taken(1, "b", serving.ClaimGranted, 3)}) {
		t.Error("two runs of one key pass")
	}
}
