package admission

import "time"

const (
	// estimateWeight is the weight of a new observation. With an eighth, the estimate follows a change of load within
	// some tens of requests and is little affected by a single slow one.
	estimateWeight = 0.125
	// firstDeviation is the deviation assumed after one observation, as a fraction of it.
	firstDeviation = 0.5
	// kindsMax limits the kinds with an estimate of their own; the others use that of all requests.
	kindsMax = 256
)

// estimate holds the moving average of service times and of their absolute deviation from it.
type estimate struct {
	mean, deviation time.Duration
}

func (e estimate) observe(d time.Duration) estimate {
	if e.mean == 0 {
		return estimate{mean: d, deviation: time.Duration(firstDeviation * float64(d))}
	}
	e.deviation += time.Duration(estimateWeight * float64((d-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(estimateWeight * float64(d-e.mean))
	return e
}

// beyond returns the mean plus a number of mean deviations.
func (e estimate) beyond(deviations float64) time.Duration {
	return e.mean + time.Duration(deviations*float64(e.deviation))
}

// serviceTimes holds the service time estimates of one target. The zero value is ready to use.
type serviceTimes struct {
	all    estimate
	byKind map[uint32]estimate
}

func (t *serviceTimes) observe(d time.Duration, kind uint32) {
	t.all = t.all.observe(d)
	own, known := t.byKind[kind]
	if !known && len(t.byKind) >= kindsMax {
		return
	}
	if t.byKind == nil {
		t.byKind = make(map[uint32]estimate)
	}
	t.byKind[kind] = own.observe(d)
}

// knows reports whether a kind has an estimate of its own.
func (t *serviceTimes) knows(kind uint32) bool {
	_, known := t.byKind[kind]
	return known
}

// of returns the estimate of a kind, or that of all requests if the kind has none.
func (t *serviceTimes) of(kind uint32) estimate {
	if own, known := t.byKind[kind]; known {
		return own
	}
	return t.all
}
