package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryMax is the memory of a machine of cpuro-rates, 134 MB.
const memoryMax = 134 * megabyte

// megabyte is the unit of the output.
const megabyte = 1_000_000

// ordinary is the number of ordinary requests.
const ordinary = 30

// The bodies of the crowd, inside max-body-bytes, in large chunks.
const (
	bodyBytes  = 1 << 20
	chunkBytes = 64 << 10
)

// playBodies lets uncontrolled clients send many chunked bodies in large chunks, most of which stop just short of their end.
func playBodies(r *record, trouble bool) error {
	perNode, _ := strconv.Atoi(envOr("CROWD", "240"))
	every, _ := strconv.Atoi(envOr("EVERY", "3"))
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	zones := []string{"couva", "chaguanas", "san-fernando"}
	for i := range 12 {
		service, work := "benchmark", 290*time.Millisecond
		if i < 3 {
			service, work = "ledger", 150*time.Millisecond
		}
		m, err := d.add(zones[i%3], service)
		if err != nil {
			return err
		}
		m.backend.work = work
	}
	d.store.put("keyed.op", "config", configuration(1, ratesRules(), []string{"benchmark", "ledger"}, nil))
	if err := d.startAll(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	peaks := d.watchMemory(ctx.Done())
	var group sync.WaitGroup
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("r", chunkBytes))
	whole := strings.Repeat(chunk, bodyBytes/chunkBytes) + "0\r\n\r\n"
	var counts sync.Map
	count := func(key string) {
		v, _ := counts.LoadOrStore(key, new(atomic.Int64))
		v.(*atomic.Int64).Add(1)
	}
	if trouble {
		r.say("%d clients at each of 12 machines begin; one in %d ends its bodies", perNode, every)
	}
	for _, m := range d.machines {
		for i := range perNode {
			if !trouble {
				continue
			}
			group.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					crowdBody(ctx, m, fmt.Sprintf("%s-%d-%d", m.name, i, k), whole, i%every != 0, count)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	answered := 0
	for i := range ordinary {
		time.Sleep(500 * time.Millisecond)
		id := fmt.Sprintf("%016x", i+1)
		m := d.machines[3+i%9]
		got := m.request("GET", host, "/lookup/"+id, id, 2500*time.Millisecond, "")
		if got.whole(id) {
			answered++
		}
		r.line("ordinary id=%s machine=%s status=%d whole=%v err=%v", id, m.name, got.status, got.whole(id), got.err)
		for _, m := range d.machines {
			r.line("memory machine=%s service=%s now=%d KiB lives=%v", m.name, m.service, m.memory()>>10, m.lives())
		}
	}
	stop()
	group.Wait()
	counts.Range(func(k, v any) bool { r.say("crowd: %v: %d", k, v.(*atomic.Int64).Load()); return true })
	r.say("ordinary requests with a whole answer: %d of %d", answered, ordinary)
	highest := peaks()
	broken := false
	for _, m := range d.machines {
		peak := highest[m]
		r.say("%s beside %s: peak %d MB of %d, lives %v", m.name, m.service, peak/megabyte, memoryMax/megabyte, m.lives())
		broken = broken || peak > memoryMax || !m.lives()
	}
	if broken {
		return errBroken
	}
	return nil
}

// crowdBody sends one body. One that is cut stays just short of its end, and the connection stays open.
func crowdBody(ctx context.Context, m *machine, id, whole string, cut bool, count func(string)) {
	conn, err := m.dialFrom(ctx)
	if err != nil {
		count("no connection")
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	if cut {
		whole = whole[:len(whole)-len("r\r\n0\r\n\r\n")]
	}
	head := fmt.Sprintf("PUT /adjust/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n", id, host, id)
	if _, err := io.WriteString(conn, head+whole); err != nil {
		count("cut by the node while it was sent")
	}
	count(firstLine(conn))
}

// firstLine returns the status line of an answer.
func firstLine(conn net.Conn) string {
	var buffer [512]byte
	n, _ := conn.Read(buffer[:])
	if n == 0 {
		return "no answer"
	}
	return strings.SplitN(string(buffer[:n]), "\r\n", 2)[0]
}
