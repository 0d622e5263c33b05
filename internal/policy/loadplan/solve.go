package loadplan

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// This file is the plan's solver: weights such that the worker that is asked for most of what it can do is asked for as little as may be. Forwarders that
// reach the same workers are one class, workers that the same classes reach another, so the programme has some tens of variables at any size. Within
// a class all weigh by what they can do.

const (
	// maxGroups of forwarders, or of workers, go into the linear programme: with more it takes longer than plans may, and weights follow from what
	// workers can do alone.
	maxGroups = 10
	// minDemand is a rate that counts as none.
	minDemand = 1e-9
)

// workerGroup is a class of workers.
type workerGroup struct {
	names    []string
	capacity float64
}

// assignWeights sets all forwarders' parts. It tells whether the programme was solved.
func (p *Planner) assignWeights() bool {
	classes := map[string][]*forwarderState{}
	for _, name := range slices.Sorted(maps.Keys(p.forwarders)) {
		f := p.forwarders[name]
		classes[f.reachable] = append(classes[f.reachable], f)
	}
	reaches := slices.Sorted(maps.Keys(classes))
	by := map[string]string{} // which classes reach a worker
	for i, reach := range reaches {
		for name := range strings.SplitSeq(strings.TrimSuffix(reach, "\x00"), "\x00") {
			if p.workers[name] != nil {
				by[name] += string(rune(i + 1))
			}
		}
	}
	groups := map[string]*workerGroup{}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		g := groups[by[name]]
		if g == nil {
			g = &workerGroup{}
			groups[by[name]] = g
		}
		g.names = append(g.names, name)
		g.capacity += p.workers[name].capacity
	}
	keys := slices.Sorted(maps.Keys(groups))
	flows, solved := solveFlows(reaches, classes, groups, keys)
	for i, reach := range reaches {
		parts, sum := []WorkerWeight{}, 0.0
		for j, key := range keys {
			flow := flows[i][j]
			if !strings.ContainsRune(key, rune(i+1)) || flow <= 0 {
				continue
			}
			for _, name := range groups[key].names {
				w := WorkerWeight{name, flow * p.workers[name].capacity / groups[key].capacity}
				parts, sum = append(parts, w), sum+w.Weight
			}
		}
		for n := range parts {
			parts[n].Weight /= sum
		}
		slices.SortFunc(parts, func(a, b WorkerWeight) int { return cmp.Compare(a.Name, b.Name) })
		if sum <= 0 {
			parts = nil
		}
		for _, f := range classes[reach] {
			f.weights = parts
		}
	}
	return solved
}

// solveFlows finds how much of each class of forwarders goes to each group of workers. What it can't solve in its bounds follows from what workers can do.
func solveFlows(reaches []string, classes map[string][]*forwarderState, groups map[string]*workerGroup, keys []string) (flows [][]float64, solved bool) {
	n, m := len(reaches), len(keys)
	flows = make([][]float64, n)
	demand := make([]float64, n)
	type pair struct{ i, j int }
	var pairs []pair
	for i := range reaches {
		flows[i] = make([]float64, m)
		for _, f := range classes[reaches[i]] {
			demand[i] += f.demand
		}
		demand[i] = max(demand[i], minDemand)
		for j, key := range keys {
			if strings.ContainsRune(key, rune(i+1)) {
				flows[i][j] = groups[key].capacity // as good as any without the others
				pairs = append(pairs, pair{i, j})
			}
		}
	}
	if n == 1 || m == 1 {
		return flows, true // there is nothing to weigh
	}
	if n > maxGroups || m > maxGroups {
		return flows, false
	}
	// Variables: a flow for each pair, a slack for each group, and the most that any group is asked for of what it can do.
	// Equations: a class's flows are its demand; a group's flows and its slack are that part of what it can do.
	var rows []int
	for i := range reaches {
		if slices.ContainsFunc(pairs, func(p pair) bool { return p.i == i }) {
			rows = append(rows, i)
		}
	}
	width := len(pairs) + m + 1
	a := mat.NewDense(len(rows)+m, width, nil)
	b := make([]float64, len(rows)+m)
	scale := slices.Max(demand)
	for k, p := range pairs {
		a.Set(slices.Index(rows, p.i), k, 1)
		a.Set(len(rows)+p.j, k, 1)
	}
	for r, i := range rows {
		b[r] = demand[i] / scale
	}
	for j, key := range keys {
		a.Set(len(rows)+j, len(pairs)+j, 1)
		a.Set(len(rows)+j, width-1, -groups[key].capacity/scale)
	}
	c := make([]float64, width)
	c[width-1] = 1
	_, x, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		return flows, false
	}
	for k, p := range pairs {
		flows[p.i][p.j] = max(0, x[k])
	}
	return flows, true
}
