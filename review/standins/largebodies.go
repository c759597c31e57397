package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB   = 284
	bodyBytes  = 4194304 // max_body_bytes of the configuration
	usualCount = 10      // clients that send at the same time on a usual day
	burstCount = 26      // 2.6 times as many
	// clientBytesPerSecond is the speed of a client's own link: 12 Mbit/s. That of all
	// clients of a burst together is 312 Mbit/s, of the 1,000 Mbit/s of a host.
	clientBytesPerSecond = 1500000
	wantedEnds           = 3
	maxWaves             = 8
)

// residentKB returns the resident memory of a process in KB, 0 if it has ended.
func residentKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// memoryLimit does what the platform does with a process that exceeds memory_mb: kills it
// and starts it again after a short delay.
type memoryLimit struct {
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int
}

func (m *memoryLimit) watch(h *Host, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		kb := residentKB(h.cmd.Process.Pid)
		m.mu.Lock()
		m.peak[h.Name] = max(m.peak[h.Name], kb)
		m.mu.Unlock()
		if kb <= memoryMB*1024 {
			continue
		}
		m.mu.Lock()
		m.ends[h.Name]++
		m.mu.Unlock()
		record("%s holds %d KB, over its memory_mb of %d: the platform kills it", h.Name, kb, memoryMB)
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		_ = h.cmd.Wait()
		time.Sleep(600 * time.Millisecond)
		if err := h.restart(); err != nil {
			record("%s can't be started again: %v", h.Name, err)
			return
		}
	}
}

// largeBodies: a burst of clients whose request bodies are as large as the configuration
// allows. No process may end by itself, also for its memory (Fault).
func largeBodies(w *World) ([]string, error) {
	ran := &runs{by: make(map[string][]string)}
	for i, zone := range zones {
		s := &plainServer{runs: ran}
		var err error
		if s.Server, err = startServer(fmt.Sprintf("i-02d9e6b%d", i), "route-register", zone, 64, s.handle); err != nil {
			return nil, err
		}
		s.register(w.store)
	}
	w.store.Put("op/config", config([]any{map[string]any{"name": "r-writes", "host": "jepu9.example", "prefix": "/bobo563/", "route_type": "non_idempotent",
		"timeout_ms": 12000, "target_latency_ms": 6000, "priority": 0, "service": "route-register", "max_attempts": 2, "public": false, "sticky": false, "resumable": false}}))
	if err := w.addHosts(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	count := usualCount
	if w.trouble {
		count = burstCount
	}
	limit := &memoryLimit{ends: make(map[string]int), peak: make(map[string]int)}
	stop := make(chan struct{})
	defer close(stop)
	watched := w.hosts[:2]
	for _, h := range watched {
		go limit.watch(h, stop)
	}
	statuses := make(map[int]int)
	var mu sync.Mutex
	for wave := range maxWaves {
		var wg sync.WaitGroup
		for i, h := range watched {
			for n := range count {
				wg.Go(func() {
					id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i*100000+wave*1000+n)
					c := &Client{host: h, bytesPerSecond: clientBytesPerSecond}
					record("%s is sent %s, with a body of %d bytes", h.Name, id, bodyBytes)
					a := c.Send(id, "POST", "/bobo563/lo7/2f", "jepu9.example", map[string]string{"X-Credential": "9dnn2ctnfzs989anu6ws"}, make([]byte, bodyBytes), 12*time.Second)
					record("%s answers %s with %d after %d ms, complete %v", h.Name, id, a.Status, a.Took.Milliseconds(), a.Complete)
					mu.Lock()
					statuses[a.Status]++
					mu.Unlock()
				})
			}
		}
		wg.Wait()
		limit.mu.Lock()
		record("wave %d: peaks %v KB, ends %v, answers by status %v", wave+1, limit.peak, limit.ends, statuses)
		done := limit.ends[watched[0].Name] >= wantedEnds && limit.ends[watched[1].Name] >= wantedEnds
		limit.mu.Unlock()
		if done {
			break
		}
		time.Sleep(2 * time.Second)
	}
	if statuses[200] == 0 {
		return nil, fmt.Errorf("no request was served: %v", statuses)
	}
	limit.mu.Lock()
	defer limit.mu.Unlock()
	for _, h := range watched {
		if limit.ends[h.Name] < wantedEnds {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("Fault: processes ended by themselves over their memory, by host %v", limit.ends)}, nil
}
