package loadplan

import (
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

const (
	// maxGroups bounds the groups of forwarders, and those of workers, in the linear program: with
	// more it takes longer than a plan may.
	maxGroups = 10
	// simplexTolerance is the tolerance of the linear program's solver.
	simplexTolerance = 1e-9
)

// edge connects a forwarder group to a worker group that it reaches, both by index.
type edge struct{ forwarder, worker int }

// solveFlows returns how much of each forwarder group's demand goes to each worker group, such that
// the highest utilization of any worker group is as low as possible. Only the ratios of a forwarder
// group's flows matter. If the program is too large or was not solved, the flows are the worker
// groups' capacities.
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
		return flows, true // in proportion to capacity is the optimum
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

// reachableEdges returns the edges in the order of forwarder groups, then of worker groups.
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

// linearProgram is a program in standard form: minimize cost*x where constraints*x = bounds and
// x >= 0.
type linearProgram struct {
	cost        []float64
	constraints *mat.Dense
	bounds      []float64
}

// newLinearProgram returns the program that minimizes the highest utilization.
//
// Its variables are the flow on each edge, the slack of each worker group, and the highest
// utilization. Its equations: the flows of a forwarder group add up to its demand; the flows to a
// worker group and its slack add up to its capacity times the highest utilization. Rates are scaled
// by the largest demand.
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

// connectedForwarders returns the forwarder groups that reach any worker group, in order: the others
// have no equation.
func connectedForwarders(edges []edge) []int {
	var connected []int
	for _, e := range edges {
		if !slices.Contains(connected, e.forwarder) {
			connected = append(connected, e.forwarder)
		}
	}
	return connected
}
