package policysim

import "container/heap"

// clock runs events in the order of their virtual time.
type clock struct {
	// nowMS is the virtual time in milliseconds.
	nowMS  float64
	agenda agenda
}

// after schedules an event.
func (c *clock) after(delayMS float64, run func()) {
	heap.Push(&c.agenda, event{c.nowMS + delayMS, run})
}

// run runs all events, also those that are scheduled meanwhile.
func (c *clock) run() {
	for len(c.agenda) > 0 {
		next := heap.Pop(&c.agenda).(event)
		c.nowMS = next.atMS
		next.run()
	}
}

type event struct {
	atMS float64
	run  func()
}

// agenda implements heap.Interface.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].atMS < a[j].atMS }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
