package loadplan

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
)

// minGroupDemandPerSecond is the lower bound of a forwarder group's demand, so that a group without
// demand gets weights too.
const minGroupDemandPerSecond = 1e-9

// workerSet is a set of worker names, encoded as a comparable string: the sorted names, each followed
// by a zero byte.
type workerSet string

const workerSetSeparator = "\x00"

// newWorkerSet returns the set of the names. It sorts names in place.
func newWorkerSet(names []string) workerSet {
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		text.WriteString(name)
		text.WriteString(workerSetSeparator)
	}
	return workerSet(text.String())
}

// names iterates over the names in the set. For the empty set it yields one empty name.
func (s workerSet) names() iter.Seq[string] {
	return strings.SplitSeq(strings.TrimSuffix(string(s), workerSetSeparator), workerSetSeparator)
}

// forwarderGroupSet is a set of forwarder group indexes, encoded as a comparable string: one rune per
// index, in ascending order. There are at most maxForwarders groups, so each index fits in a rune.
type forwarderGroupSet string

// with returns the set with an index added. The index must be higher than all others in the set.
func (s forwarderGroupSet) with(index int) forwarderGroupSet {
	return s + forwarderGroupSet(indexRune(index))
}

func (s forwarderGroupSet) contains(index int) bool {
	return strings.ContainsRune(string(s), indexRune(index))
}

// indexRune returns the rune that encodes an index. It is never the zero rune.
func indexRune(index int) rune { return rune(index + 1) }

// forwarderGroup is a group of forwarders that are connected to the same workers. They get the same
// weights.
type forwarderGroup struct {
	members   []*forwarderState
	reachable workerSet
	demand    float64
}

// workerGroup is a group of workers that the same forwarder groups are connected to. Within the group,
// requests are distributed by capacity.
type workerGroup struct {
	names       []string
	reachableBy forwarderGroupSet
	capacity    float64
}

// assignWeights sets the weights of all forwarders. Forwarders and workers are grouped to keep the
// linear program small: it has a variable for each pair of connected groups, and there are few groups
// even in a large fleet. assignWeights returns false if the program was not solved; the weights are
// then based on the workers' capacities alone.
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

// groupForwarders returns the forwarder groups, sorted by the workers that they reach. The members of a
// group are sorted by name.
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
		group.demand = max(group.demand, minGroupDemandPerSecond)
		groups = append(groups, group)
	}
	return groups
}

// groupWorkers returns the worker groups, sorted by the forwarder groups that reach them. The names in a
// group are sorted.
func (p *Planner) groupWorkers(forwarders []*forwarderGroup) []*workerGroup {
	reachableBy := map[string]forwarderGroupSet{} // by worker name
	for index, group := range forwarders {
		for name := range group.reachable.names() {
			if p.workers[name] != nil {
				reachableBy[name] = reachableBy[name].with(index)
			}
		}
	}
	byForwarders := map[forwarderGroupSet]*workerGroup{}
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

// groupWeights returns the worker weights for the forwarder group with an index, sorted by name. Their
// sum is 1. It returns nil if there is no flow from the group.
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
