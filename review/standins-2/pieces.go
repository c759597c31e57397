package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["many-pieces"] = manyPiecesCase
}

// ip is the loopback address of the stand-ins and hostIP that of the first host, others follow. They
// differ between cases that run at the same time.
var (
	ip     = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()/256%128, os.Getpid()%256)
	hostIP = strings.TrimSuffix(ip, "1") + "2"
)

// deployment starts a store, servers and one host.
func deployment(run func(c *call) bool) (*store, *host) {
	st := startStore(ip)
	st.put("op/config", config(3))
	for i := range 2 {
		startServer(ip, fmt.Sprintf("i-reg%d", i), "route-register", "ljubljana", run).register(st, 6)
		startServer(ip, fmt.Sprintf("i-llm%d", i), "pimentorill-pool", "ljubljana", run).register(st, 64)
		startServer(ip, fmt.Sprintf("i-hut%d", i), "hut-portal", "ljubljana", run).register(st, 1)
	}
	h := newHost("edge-ljubljana-1", "ljubljana", hostIP, st.address)
	h.start()
	h.awaitReady(20 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	return st, h
}

// manyPiecesCase: requests whose stage has many pieces. Without the disruption the stage has 900.
func manyPiecesCase(trouble bool) string {
	var mu sync.Mutex
	inputs := map[string]int{}
	_, h := deployment(func(c *call) bool {
		handles := 0
		if v := c.Header.Get("X-Input-Count"); v != "" {
			handles = len(strings.Split(v, ","))
		}
		mu.Lock()
		inputs[c.id()] = handles
		mu.Unlock()
		note("server %s runs %s with %d inputs (header present: %v)", c.server.id, c.id(), handles, c.Header["X-Input-Count"] != nil)
		c.write(200, signed("Content-Type", "text/event-stream"), "id: 1\ndata: a\n\n")
		return true
	})
	pieces := 900
	if trouble {
		pieces = 1001
	}
	broken := ""
	for range 3 {
		c, err := dial(h.frontend)
		check(err)
		id := newID()
		note("request %s with %d pieces", id, pieces)
		check(c.send("POST", "pule.example", "/staged/a", id, 19*time.Second, "x", "X-Chunk-Count", strconv.Itoa(pieces), "X-Chunk-Key", "7c1e07a291bd"))
		note("answer to %s: %v", id, c.receive("POST", 25*time.Second))
		c.close()
		mu.Lock()
		if n, ran := inputs[id]; ran && n != pieces {
			broken = fmt.Sprintf("request %s ran with %d of %d inputs", id, n, pieces)
		}
		mu.Unlock()
	}
	return broken
}
