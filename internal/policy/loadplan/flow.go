package loadplan

import (
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

const (
	// maxGroups bounds both the forwarder groups and the worker groups in the linear program. With
	// more groups, solving takes longer than the time available for a plan.
	maxGroups = 10
	// simplexTolerance is the tolerance of the linear program's solver.
	simplexTolerance = 1e-9
)

// edge connects a forwarder group to a worker group that it reaches. Both are indexes.
type edge struct{ forwarder, worker int }

// solveFlows returns the flow from each forwarder group to each worker group that minimizes the
// highest utilization of a worker group. Only the ratios between the flows of a forwarder group are
// meaningful. If the linear program is too large or could not be solved, the flows are the capacities
// of the worker groups.
func solveFlows(forwarders []*forwarderGroup, workers []*workerGroup) (flows [][]float64, solved bool) {
	edges := reachableEdges(forwarders, workers)
	flows = make([][]float64, len(forwarders))
	for index := range flows {
		flows[index] = make([]float64, len(workers))
	}
	for _, e := range edges {
		flows[e.forwarder][e.worker] = workers[e.worker].capacity
	}
	if len(forwarders) == 1 || len(workers) == 1 {
		return flows, true // flows in proportion to capacity are optimal
	}
	if len(forwarders) > maxGroups || len(workers) > maxGroups {
		return flows, false
	}
	program := newLinearProgram(forwarders, workers, edges)
	_, solution, err := lp.Simplex(program.cost, program.constraints, program.bounds, simplexTolerance, nil)
	if err != nil {
		return flows, false
	}
	for index, e := range edges {
		flows[e.forwarder][e.worker] = max(0, solution[index])
	}
	return flows, true
}

// reachableEdges returns the edges, ordered by forwarder group, then by worker group.
func reachableEdges(forwarders []*forwarderGroup, workers []*workerGroup) []edge {
	var edges []edge
	for forwarder := range forwarders {
		for worker, group := range workers {
			if group.reachableBy.contains(forwarder) {
				edges = append(edges, edge{forwarder: forwarder, worker: worker})
			}
		}
	}
	return edges
}

// linearProgram is a linear program in standard form: minimize cost*x subject to
// constraints*x = bounds and x >= 0.
type linearProgram struct {
	cost        []float64
	constraints *mat.Dense
	bounds      []float64
}

// newLinearProgram returns the linear program that minimizes the highest utilization of a worker
// group.
//
// The variables are the flow on each edge, the slack of each worker group, and the highest
// utilization. The constraints are: the flows from a forwarder group add up to its demand; the flows
// to a worker group plus its slack add up to its capacity times the highest utilization. All rates
// are divided by the largest demand.
func newLinearProgram(forwarders []*forwarderGroup, workers []*workerGroup, edges []edge) linearProgram {
	demandRows := connectedForwarders(edges)
	scale := 0.0
	for _, group := range forwarders {
		scale = max(scale, group.demand)
	}
	rows := len(demandRows) + len(workers)
	columns := len(edges) + len(workers) + 1
	utilization := columns - 1

	program := linearProgram{
		cost:        make([]float64, columns),
		constraints: mat.NewDense(rows, columns, nil),
		bounds:      make([]float64, rows),
	}
	program.cost[utilization] = 1
	for column, e := range edges {
		program.constraints.Set(slices.Index(demandRows, e.forwarder), column, 1)
		program.constraints.Set(len(demandRows)+e.worker, column, 1)
	}
	for row, forwarder := range demandRows {
		program.bounds[row] = forwarders[forwarder].demand / scale
	}
	for worker, group := range workers {
		row := len(demandRows) + worker
		slack := len(edges) + worker
		program.constraints.Set(row, slack, 1)
		program.constraints.Set(row, utilization, -group.capacity/scale)
	}
	return program
}

// connectedForwarders returns the indexes of the forwarder groups that reach a worker group, in order.
// The other forwarder groups have no constraint.
func connectedForwarders(edges []edge) []int {
	var connected []int
	for _, e := range edges {
		if !slices.Contains(connected, e.forwarder) {
			connected = append(connected, e.forwarder)
		}
	}
	return connected
}
