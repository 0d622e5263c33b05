package loadplan

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
)

// minDemand is the demand assumed of a group of forwarders that has none, so that it gets weights
// too.
const minDemand = 1e-9

// workerSet is a set of worker names in a form that can be compared: sorted, each followed by a
// zero byte.
type workerSet string

const workerSetSeparator = "\x00"

// newWorkerSet returns the set of the names, which it sorts in place.
func newWorkerSet(names []string) workerSet {
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		text.WriteString(name)
		text.WriteString(workerSetSeparator)
	}
	return workerSet(text.String())
}

// names returns the names in the set, and one empty name for the empty set.
func (s workerSet) names() iter.Seq[string] {
	return strings.SplitSeq(strings.TrimSuffix(string(s), workerSetSeparator), workerSetSeparator)
}

// groupSet is a set of indexes of forwarder groups in a form that can be compared: one rune for
// each, in ascending order. There are at most maxForwarders groups.
type groupSet string

// with returns the set with an index added that is higher than all in it.
func (s groupSet) with(index int) groupSet { return s + groupSet(indexRune(index)) }

func (s groupSet) contains(index int) bool {
	return strings.ContainsRune(string(s), indexRune(index))
}

// indexRune returns the rune for an index, which is never the zero rune.
func indexRune(index int) rune { return rune(index + 1) }

// forwarderGroup is the forwarders that are connected to the same workers. They get the same
// weights.
type forwarderGroup struct {
	members   []*forwarderState
	reachable workerSet
	demand    float64
}

// workerGroup is the workers that the same forwarder groups are connected to. Within it requests
// are distributed by capacity.
type workerGroup struct {
	names       []string
	reachableBy groupSet
	capacity    float64
}

// assignWeights sets all forwarders' weights, one forwarder group at a time: the linear program has
// a variable for each pair of groups, which are few at any size of the fleet. It returns false if
// the program was not solved and the weights follow from the workers' capacities alone.
func (p *Planner) assignWeights() (solved bool) {
	forwarders := p.groupForwarders()
	workers := p.groupWorkers(forwarders)
	flows, solved := solveFlows(forwarders, workers)
	for index, group := range forwarders {
		weights := p.groupWeights(index, workers, flows[index])
		for _, member := range group.members {
			member.weights = weights
		}
	}
	return solved
}

// groupForwarders returns the groups sorted by the workers that they reach, the members by name.
func (p *Planner) groupForwarders() []*forwarderGroup {
	byWorkers := map[workerSet]*forwarderGroup{}
	for _, name := range slices.Sorted(maps.Keys(p.forwarders)) {
		forwarder := p.forwarders[name]
		group := byWorkers[forwarder.reachable]
		if group == nil {
			group = &forwarderGroup{reachable: forwarder.reachable}
			byWorkers[forwarder.reachable] = group
		}
		group.members = append(group.members, forwarder)
		group.demand += forwarder.totalDemand
	}
	groups := make([]*forwarderGroup, 0, len(byWorkers))
	for _, workers := range slices.Sorted(maps.Keys(byWorkers)) {
		group := byWorkers[workers]
		group.demand = max(group.demand, minDemand)
		groups = append(groups, group)
	}
	return groups
}

// groupWorkers returns the groups sorted by the forwarder groups that reach them, the names sorted.
func (p *Planner) groupWorkers(forwarders []*forwarderGroup) []*workerGroup {
	reachableBy := map[string]groupSet{} // by worker
	for index, group := range forwarders {
		for name := range group.reachable.names() {
			if p.workers[name] != nil {
				reachableBy[name] = reachableBy[name].with(index)
			}
		}
	}
	byForwarders := map[groupSet]*workerGroup{}
	for _, name := range slices.Sorted(maps.Keys(reachableBy)) {
		key := reachableBy[name]
		group := byForwarders[key]
		if group == nil {
			group = &workerGroup{reachableBy: key}
			byForwarders[key] = group
		}
		group.names = append(group.names, name)
		group.capacity += p.workers[name].capacity
	}
	groups := make([]*workerGroup, 0, len(byForwarders))
	for _, key := range slices.Sorted(maps.Keys(byForwarders)) {
		groups = append(groups, byForwarders[key])
	}
	return groups
}

// groupWeights returns the weights of the forwarder group with an index, sorted by name, with the
// sum 1; nil if nothing flows from it.
func (p *Planner) groupWeights(index int, workers []*workerGroup, flows []float64) []WorkerWeight {
	var weights []WorkerWeight
	sum := 0.0
	for worker, group := range workers {
		flow := flows[worker]
		if !group.reachableBy.contains(index) || flow <= 0 {
			continue
		}
		for _, name := range group.names {
			weight := flow * p.workers[name].capacity / group.capacity
			weights = append(weights, WorkerWeight{Name: name, Weight: weight})
			sum += weight
		}
	}
	if sum <= 0 {
		return nil
	}
	for i := range weights {
		weights[i].Weight /= sum
	}
	slices.SortFunc(weights, func(a, b WorkerWeight) int { return cmp.Compare(a.Name, b.Name) })
	return weights
}
