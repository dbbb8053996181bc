package daemon

import "context"

// roleTask runs a function while the node has the role for it.
type roleTask struct {
	wanted chan bool
}

// newRoleTask returns an enabled task: a node that knows no other node has every role.
func newRoleTask() *roleTask {
	d := &roleTask{wanted: make(chan bool, 1)}
	d.set(true)
	return d
}

// set enables or disables the task. Only the newest value counts. It must not be called concurrently.
func (d *roleTask) set(wanted bool) {
	select {
	case <-d.wanted:
	default:
	}
	d.wanted <- wanted
}

// run runs f while the task is enabled, until ctx ends. Two runs of f never overlap.
func (d *roleTask) run(ctx context.Context, f func(context.Context)) {
	stop := func() {}
	running := false
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case wanted := <-d.wanted:
			if wanted == running {
				continue
			}
			running = wanted
			stop()
			if !wanted {
				stop = func() {}
				continue
			}
			stop = start(ctx, f)
		}
	}
}

// start runs f on a goroutine and returns a function that ends it and waits.
func start(ctx context.Context, f func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}
