package routing

import "time"

// cacheIndex tracks which endpoints are believed to hold a prompt prefix. Its size is bounded:
// prefixes are evicted in the order in which they were added.
type cacheIndex struct {
	entries    map[uint64]*cacheEntry
	order      []uint64 // prefixes, as a ring buffer
	head       int      // index of the oldest prefix once the ring is full
	maxEntries int
	ttl        time.Duration
}

type cacheEntry struct {
	holders [maxHolders]holder
	// widelyHeld is set when more endpoints hold the prefix than are tracked. To prefer the few
	// tracked ones would then send all work to them.
	widelyHeld bool
}

type holder struct {
	endpoint string
	at       time.Time
}

// maxHolders bounds how many endpoints are tracked for one prefix.
const maxHolders = 4

func newCacheIndex(maxEntries int, ttl time.Duration) cacheIndex {
	return cacheIndex{entries: map[uint64]*cacheEntry{}, maxEntries: max(maxEntries, 1), ttl: ttl}
}

// CacheStored records an event that an endpoint holds a prefix.
func (v *View) CacheStored(now time.Time, id string, prefix uint64) {
	c := &v.cache
	e := c.entries[prefix]
	if e == nil {
		e = &cacheEntry{}
		c.entries[prefix] = e
		c.insert(prefix)
	}
	oldest, found := 0, false
	for i := range e.holders {
		h := &e.holders[i]
		if h.endpoint == id || h.endpoint == "" {
			oldest, found = i, true
			break
		}
		if h.at.Before(e.holders[oldest].at) {
			oldest = i
		}
	}
	if !found && now.Sub(e.holders[oldest].at) < c.ttl {
		e.widelyHeld = true
	}
	e.holders[oldest] = holder{id, now}
}

func (c *cacheIndex) insert(prefix uint64) {
	if len(c.order) < c.maxEntries {
		c.order = append(c.order, prefix)
		return
	}
	delete(c.entries, c.order[c.head])
	c.order[c.head] = prefix
	c.head = (c.head + 1) % c.maxEntries
}

// CacheEvicted records an event that an endpoint dropped a prefix.
func (v *View) CacheEvicted(id string, prefix uint64) {
	if e := v.cache.entries[prefix]; e != nil {
		for i := range e.holders {
			if e.holders[i].endpoint == id {
				e.holders[i] = holder{}
				e.widelyHeld = false
			}
		}
	}
}

// CacheCleared drops all that is known of an endpoint's cache, because its events had a gap or it
// restarted.
func (v *View) CacheCleared(id string) {
	for p := range v.cache.entries {
		v.CacheEvicted(id, p)
	}
}

// HoldsPrefix reports whether any listed endpoint is believed to hold a prompt prefix.
func (v *View) HoldsPrefix(now time.Time, prefix uint64) bool {
	e := v.cache.entries[prefix]
	if e == nil {
		return false
	}
	for i := range e.holders {
		if n := v.nodes[e.holders[i].endpoint]; n != nil && now.Sub(e.holders[i].at) < v.cache.ttl {
			return true
		}
	}
	return false
}

// cachedShare returns the share of the prefixes, given shortest first, that an endpoint is believed
// to hold.
func (v *View) cachedShare(now time.Time, id string, prefixes []uint64) float64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if v.endpointHolds(now, id, prefixes[i]) {
			return float64(i+1) / float64(len(prefixes))
		}
	}
	return 0
}

func (v *View) endpointHolds(now time.Time, id string, prefix uint64) bool {
	e := v.cache.entries[prefix]
	if e == nil || e.widelyHeld {
		return false
	}
	for i := range e.holders {
		h := &e.holders[i]
		if h.endpoint == id && now.Sub(h.at) < v.cache.ttl {
			return true
		}
	}
	return false
}
