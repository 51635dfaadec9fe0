package placement

import (
	"math"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/load"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// secondPlaceShare is the share of sharedTokenCost at the second place of a prompt:
	// what is processed there serves all routers whose requests find the home full.
	secondPlaceShare = 0.5
	// homeLoad is how much of an endpoint's mean share of the requests one prompt may
	// bring to each of its homes.
	homeLoad = 0.5
	// maxHomes bounds the homes of a prompt.
	maxHomes = 8
	// promptRateConstant is the time constant of the rate of a prompt.
	promptRateConstant = 10 * time.Second
	// maxPromptRates is the number of rows above which old ones are deleted, and
	// mostPromptRates the number above which there are no new ones: clients choose the ids.
	maxPromptRates  = 4096
	mostPromptRates = 8 * maxPromptRates
)

// placeKind is what an endpoint is to the shared prompt of a request.
type placeKind uint8

const (
	// placeAny is that of all endpoints if the request shares no prompt.
	placeAny placeKind = iota
	placeHome
	placeSecond
	placeElsewhere
)

// String returns the name of the place in counters and decisions.
func (p placeKind) String() string { return [...]string{"any", "home", "second", "elsewhere"}[p] }

// rereadShare returns the share of sharedTokenCost that applies.
func (p placeKind) rereadShare() float64 {
	switch p {
	case placeSecond:
		return secondPlaceShare
	case placeHome:
		return 0
	default:
		return 1
	}
}

// sharedKey returns the last prompt part that other requests may share, or "".
func sharedKey(x *table.Exchange) string {
	if len(x.PromptParts) < 2 {
		return ""
	}
	return x.PromptParts[len(x.PromptParts)-2].ID
}

// placesOf returns the places of the candidates for a request: those that rank first for
// its shared prompt are its homes, the next one is its second place. Routers agree on the
// ranks without messages, as far as they agree on the speeds of the endpoints.
func placesOf(w *world.World, x *table.Exchange, candidates []*table.DirectEndpoint) []placeKind {
	places := make([]placeKind, len(candidates))
	key := sharedKey(x)
	if key == "" {
		return places
	}
	ranks := make([]float64, len(candidates))
	for i, e := range candidates {
		places[i] = placeElsewhere
		ranks[i] = weightedRank(key, e.ID, load.Speed(w, e))
	}
	homes := homeCount(w, x.Service, key, len(candidates))
	for n := 0; n <= homes && n < len(candidates); n++ {
		first := slices.Index(ranks, slices.Max(ranks))
		ranks[first] = math.Inf(-1)
		places[first] = placeHome
		if n == homes {
			places[first] = placeSecond
		}
	}
	return places
}

// weightedRank ranks an endpoint for a key so that it ranks first for a share of the keys
// in proportion to its speed.
func weightedRank(key string, id table.EndpointID, speed float64) float64 {
	u := (float64(table.RendezvousRank(key, string(id))>>11) + 0.5) / (1 << 53)
	return speed / -math.Log(u)
}

// homeCount returns how many homes a prompt has: the more, the larger its share of the
// requests to its service.
func homeCount(w *world.World, service table.ServiceName, key string, endpoints int) int {
	rate, traffic := w.PromptRates.Get(key), w.ServiceTraffic.Get(service)
	if rate == nil || traffic == nil {
		return 1
	}
	seconds := promptRateConstant.Seconds()
	prompts := rate.At(w.Now, promptRateConstant) * seconds
	all := max(traffic.Sends.PerSecond*seconds, prompts)
	// A few requests show no rate: only what exceeds their random variation counts.
	prompts -= 2 * math.Sqrt(prompts)
	if prompts <= 0 {
		return 1
	}
	return min(maxHomes, max(1, int(math.Ceil(prompts/all*float64(endpoints)/homeLoad))))
}

// recordPrompt adds a request that is sent to the rate of its shared prompt.
func recordPrompt(w *world.World, x *table.Exchange) {
	key := sharedKey(x)
	if key == "" {
		return
	}
	if w.PromptRates.Len() > maxPromptRates {
		w.PromptRates.DeleteIf(func(_ string, r *table.DecayingRate) bool { return w.Now.Sub(r.UpdatedAt) > promptRateConstant })
	}
	rate := w.PromptRates.Get(key)
	if rate == nil {
		if w.PromptRates.Len() >= mostPromptRates {
			return
		}
		rate = w.PromptRates.Put(key, table.DecayingRate{})
	}
	rate.Add(w.Now, 1, promptRateConstant)
}
