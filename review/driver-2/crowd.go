package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// machineMemory is the memory of a machine of the site cpuro-rates, 134 MB, in its larger reading.
	machineMemory = 134 << 20
	// crowdBytes is what the crowd sends in a second. The link of a machine carries 1,000 Mbit, which is 125 MB.
	crowdBytes = 115 * 1000 * 1000
	// crowdTime is how long the crowd sends.
	crowdTime = 25 * time.Second
	// chunkBytes is the size of large chunks.
	chunkBytes = 16000
	// chunkPause is the time between two very small chunks, crowdPause that before a client opens its next connection.
	chunkPause = 500 * time.Millisecond
	crowdPause = time.Second
	// descriptorsMin is what the driver and the process need; the process may have 4,100 on a machine of the site.
	descriptorsMin = 4100
	// unansweredShareMax is the share of the ordinary requests that may end without any answer.
	unansweredShareMax = 0.25
)

// crowd are clients that send most of a chunked body and stay open.
type crowd struct {
	address string
	// request is sent at once, and chunk, if there is one, again and again after it.
	request, chunk string
	// pause is the time before a client opens its next connection.
	pause   time.Duration
	began   time.Time
	stopped atomic.Bool
	sent    atomic.Int64
	opened  atomic.Int64
	// answered counts the connections that were answered or closed.
	answered atomic.Int64
}

// write writes to a connection, all together slower than the link of a machine.
func (c *crowd) write(conn net.Conn, text string) bool {
	for len(text) > 0 && !c.stopped.Load() {
		part := text[:min(len(text), chunkBytes)]
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
		due := time.Duration(float64(c.sent.Add(int64(len(part)))) / crowdBytes * float64(time.Second))
		time.Sleep(time.Until(c.began.Add(due)))
		text = text[len(part):]
	}
	return true
}

// run is one client: when its connection ends, it opens another one.
func (c *crowd) run() {
	for ; !c.stopped.Load(); time.Sleep(c.pause) {
		conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.opened.Add(1)
		if c.write(conn, fmt.Sprintf(c.request, newID())) {
			c.stay(conn)
		}
		c.answered.Add(1)
		conn.Close()
	}
}

// stay keeps a connection open until the other end answers or closes it.
func (c *crowd) stay(conn net.Conn) {
	wait := time.Second
	if c.chunk != "" {
		wait = chunkPause
	}
	for !c.stopped.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err := conn.Read(make([]byte, 512))
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() || !c.write(conn, c.chunk) {
			return
		}
	}
}

// unfinishedRequest is a request without the end of its body; its id is left open. The cookies stay within max-header-bytes.
func unfinishedRequest(cookieBytes, bodyBytes int) string {
	var fields strings.Builder
	for fields.Len() < cookieBytes {
		fmt.Fprintf(&fields, "Cookie: c%d=%s\r\n", fields.Len(), strings.Repeat("v", 1000))
	}
	fields.WriteString("Transfer-Encoding: chunked\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	return head(http.MethodPost, prefixPost+"x", "%s", fields.String()) + strings.Repeat(chunk, bodyBytes/chunkBytes)
}

// crowdResult is what a crowd has led to.
type crowdResult struct {
	// peak is that of the resident memory of the process, in bytes.
	peak int64
	// ended is true if the process has ended.
	ended bool
	// ordinary counts the requests of ordinary clients, unanswered those that got no answer although they were tried twice.
	ordinary, unanswered int
}

// playCrowd lets many clients send most of a chunked body to one machine and stay open, while others are ordinary.
func playCrowd(b *bench, clients int, c *crowd) crowdResult {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < descriptorsMin {
		b.fail("a process may have %d descriptors, %d are needed, error %v", files.Cur, descriptorsMin, err)
	}
	nodes := startNodes(b, serviceA, serviceB)
	for i, n := range nodes {
		b.newBackend(fmt.Sprintf("i-7f3a91c%d", i), zone, n).report(inTime)
	}
	time.Sleep(2 * time.Second)
	reads := startLoad(http.MethodGet, prefixGet, 6, 50*time.Millisecond, nodes[0])
	writes := startLoad(http.MethodPost, prefixPost, 4, 50*time.Millisecond, nodes[0])
	c.address, c.began = nodes[0].outbound(), time.Now()
	if b.trouble {
		for range clients {
			go c.run()
		}
	}
	var result crowdResult
	for time.Since(c.began) < crowdTime && nodes[0].isRunning() {
		time.Sleep(time.Second)
		if peak, err := nodes[0].peakBytes(); err == nil {
			result.peak = peak
		}
		b.note("peak of the resident memory %d bytes; the crowd has opened %d connections, sent %d bytes, and %d were answered or closed",
			result.peak, c.opened.Load(), c.sent.Load(), c.answered.Load())
	}
	result.ended = !nodes[0].isRunning()
	for name, l := range map[string]*load{"reads": reads, "writes": writes} {
		outcomes := l.end()
		b.note("ordinary %s: %v", name, outcomes)
		for outcome, n := range outcomes {
			result.ordinary += n
			if outcome == "connection closed" || outcome == "connection refused" || outcome == "timeout" {
				result.unanswered += n
			}
		}
	}
	c.stopped.Store(true)
	b.note("%s has ended: %v; peak %d bytes, the machine has %d", nodes[0].name, result.ended, result.peak, machineMemory)
	b.note("of %d ordinary requests, %d got no answer", result.ordinary, result.unanswered)
	return result
}

// memoryCase: the crowd sends large chunks, and its headers are large, but inside the limits.
func memoryCase(b *bench) bool {
	result := playCrowd(b, 2500, &crowd{request: unfinishedRequest(11000, 64000)})
	return result.ended || result.peak > machineMemory
}

// crowdCase: the crowd sends very small chunks, one after the other.
func crowdCase(b *bench) bool {
	result := playCrowd(b, 2500, &crowd{request: unfinishedRequest(0, 0), chunk: "1\r\nx\r\n", pause: crowdPause})
	return result.ended || float64(result.unanswered) > unansweredShareMax*float64(result.ordinary)
}
