package routing

import "time"

// maxWaitRefusals is the number of nodes that may refuse a request because of their wait. Their reports improve the next
// choice; further refusals would only take time.
const maxWaitRefusals = 2

// WaitLimit decides how long a request may wait for a slot at the selected node. What a node knows of the load of others
// is as old as their last response, so several nodes often choose the same target, and a request would wait there while
// slots of other targets are free. With a limit it is refused at once and goes to another node. The zero value is ready
// to use; it must not be used concurrently.
type WaitLimit struct {
	// Max is the wait beyond which another node is expected to respond sooner; 0 if there is none.
	Max time.Duration
	// refusedBy holds the nodes that refused the request because of their wait and are not candidates.
	refusedBy []string
	refusals  int
}

// Limit returns the maximum wait; 0 means that there is none.
func (l *WaitLimit) Limit() time.Duration {
	if l.refusals >= maxWaitRefusals {
		return 0
	}
	return l.Max
}

// Record records that a node refused the request because of its wait. tried holds the nodes that are no candidates. With
// the last refusal that is permitted, all of these nodes become candidates again.
func (l *WaitLimit) Record(node string, tried map[string]bool) {
	if l.refusals >= maxWaitRefusals {
		return
	}
	l.refusals++
	l.refusedBy = append(l.refusedBy, node)
	if l.refusals == maxWaitRefusals {
		l.Reconsider(tried)
	}
}

// Reconsider makes the nodes that refused the request because of their wait candidates again, without a limit. It returns
// false if there are none.
func (l *WaitLimit) Reconsider(tried map[string]bool) bool {
	if len(l.refusedBy) == 0 {
		return false
	}
	for _, node := range l.refusedBy {
		delete(tried, node)
	}
	l.refusedBy, l.refusals = nil, maxWaitRefusals
	return true
}
