package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdClients is the number of uncontrolled clients; a machine has 4,100 descriptors.
	crowdClients = 2300
	// crowdChunks is the number of chunks of a body that ends just short of its end, one each crowdPause.
	crowdChunks = 50
	crowdPause  = 500 * time.Millisecond
	// crowdOrdinary is the number of requests of ordinary clients, one each crowdOrdinaryPause.
	crowdOrdinary      = 100
	crowdOrdinaryPause = 200 * time.Millisecond
)

// playCrowd lets uncontrolled clients send many chunked bodies at once, in very small chunks, which stop just short of their end
// and stay open. Ordinary clients send requests meanwhile.
func playCrowd(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	for i, service := range []string{"benchmark", "benchmark", "ledger"} {
		if _, err := d.add([]string{"couva", "chaguanas", "san-fernando"}[i], service); err != nil {
			return err
		}
	}
	d.store.put("keyed.op", "config", configuration(1, ratesRules(), []string{"benchmark", "ledger"}, nil))
	if err := d.startAll(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	m := d.machines[0]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var open, ended atomic.Int64
	var group sync.WaitGroup
	if trouble {
		r.say("%d clients begin to send bodies to %s", crowdClients, m.name)
		for i := range crowdClients {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				crowdClient(ctx, m, i, &open, &ended)
			})
		}
		time.Sleep(crowdClients * time.Millisecond)
	}
	answered, none := 0, 0
	longest, last := time.Duration(0), time.Now()
	for i := range crowdOrdinary {
		id := fmt.Sprintf("%016x", i+1)
		got := m.request("GET", host, "/lookup/"+id, id, 2500*time.Millisecond, "")
		if got.err == nil {
			answered++
			last = time.Now()
		} else {
			none++
		}
		longest = max(longest, time.Since(last))
		r.line("ordinary id=%s status=%d whole=%v err=%v took=%v crowd_open=%d crowd_ended=%d descriptors=%d",
			id, got.status, got.whole(id), got.err, got.took, open.Load(), ended.Load(), m.descriptors())
		time.Sleep(crowdOrdinaryPause)
	}
	for _, other := range d.machines {
		for _, run := range other.backend.allRuns() {
			r.line("run id=%s backend=%s", run.id, other.backend.id)
		}
	}
	r.say("ordinary requests: %d answered, %d without any answer, longest time without one %v; the process lives: %v",
		answered, none, longest.Round(time.Millisecond), m.lives())
	stop()
	group.Wait()
	if none > crowdOrdinary/2 || !m.lives() {
		return errBroken
	}
	return nil
}

// crowdClient sends one body and stays open.
func crowdClient(ctx context.Context, m *machine, i int, open, ended *atomic.Int64) {
	conn, err := m.dialFrom(ctx)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	open.Add(1)
	defer open.Add(-1)
	head := fmt.Sprintf("POST /submit/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: c%015x\r\nDeadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", i, host, i)
	if _, err := io.WriteString(conn, head); err != nil {
		ended.Add(1)
		return
	}
	for range crowdChunks {
		if _, err := io.WriteString(conn, "4\r\nrate\r\n"); err != nil {
			ended.Add(1)
			return
		}
		select {
		case <-time.After(crowdPause):
		case <-ctx.Done():
			return
		}
	}
	<-ctx.Done()
}
