package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// config is the operator's configuration with one service and one route.
func config(version int, service, kind string, resumable bool, timeoutMs int, warmUpS, warmUpPerS float64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "host": "guide.example", "prefix": "/notes/", "route_type": kind, "timeout_ms": timeoutMs, "target_latency_ms": 1100,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": resumable, "gap_target_ms": 400}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "warmup_s": warmUpS, "warmup_per_s": warmUpPerS}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "triglav", "api_keys": []string{"key-triglav"}, "priority": 1}},
	}
}

// playLeavingCut has a server leave, which ends while a stream that may not be repeated still runs.
// Its response has no length and ends with its channel.
func playLeavingCut(f *fleet) (bool, error) {
	const events, pause = 40, 150 * time.Millisecond // 6 s
	f.store.put("op/config", config(1, "pool", "streaming", false, 20000, 0, 0))
	flags := []string{"-events", fmt.Sprint(events), "-pause", pause.String(), "-framing", "close"}
	var servers []*serverProcess
	for i := range 4 {
		s, err := f.startServer(fmt.Sprintf("pool-%d", i+1), "pool", zones[i%len(zones)], 64, 0, flags...)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	const clients = 12
	answers := make([]answer, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			answers[i] = request(f.hosts[i%3].frontend, "POST", "/notes/1", "Condense the approach.", 18*time.Second)
		})
	}
	time.Sleep(time.Second)
	leaving := servers[0]
	if f.trouble {
		leaving.drain()
		f.note("the store has accepted that server %s leaves", leaving.id)
		time.Sleep(2500 * time.Millisecond) // drain_ms and a little longer
		f.store.delete("servers/" + leaving.id)
		leaving.kill()
		f.note("server %s has left and ended", leaving.id)
	}
	wg.Wait()
	broken := false
	at := make(map[string]string)
	for _, s := range servers {
		for _, r := range s.ran() {
			at[r.attempt] += " " + s.name
		}
	}
	for _, a := range answers {
		verdict := ""
		if a.status == 200 && a.complete && countEvents(a.body) < events {
			broken = true
			verdict = " - ends as complete before its last piece"
		}
		f.note("request sent at %s: %s, ran at%s%s", f.clock(a.sentAt), a, at[a.attempt], verdict)
	}
	if len(leaving.ran()) == 0 {
		return false, fmt.Errorf("no stream ran at server %s", leaving.id)
	}
	return broken, nil
}

func countEvents(body string) int {
	n := 0
	for i := 0; i+1 < len(body); i++ {
		if body[i] == '\n' && body[i+1] == '\n' {
			n++
		}
	}
	return n
}

// playFrozenCut freezes a host, and meanwhile ends the process of a server that is in the middle of
// its response to this host, and starts it again under its id.
func playFrozenCut(f *fleet) (bool, error) {
	f.store.put("op/config", config(1, "register", "idempotent", false, 12000, 0, 0))
	flags := []string{"-work", "30ms", "-pause", "1500ms", "-framing", "close"}
	var servers []*serverProcess
	for i := range 4 {
		s, err := f.startServer(fmt.Sprintf("register-%d", i+1), "register", zones[i%len(zones)], 6, 0, flags...)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.startHosts(8); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	h := f.hosts[0]
	var a answer
	var wg sync.WaitGroup
	wg.Go(func() { a = request(h.frontend, "GET", "/notes/1", "", 10*time.Second) })
	time.Sleep(500 * time.Millisecond)
	i := slices.IndexFunc(servers, func(s *serverProcess) bool { return len(s.ran()) > 0 })
	if i < 0 {
		return false, errors.New("no request ran")
	}
	s := servers[i]
	if f.trouble {
		_ = h.cmd.Process.Signal(syscall.SIGSTOP)
		f.note("host %s is frozen", h.name)
		time.Sleep(200 * time.Millisecond)
		s.kill()
		f.note("server %s has crashed", s.id)
		time.Sleep(time.Second)
		if err := s.launch(s.id, 0); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		f.note("host %s goes on", h.name)
	}
	wg.Wait()
	for _, s := range servers {
		for _, r := range s.ran() {
			f.note("server %s began to run %s at %s", s.id, r.attempt, f.clock(r.at))
		}
	}
	f.note("request sent at %s: %s", f.clock(a.sentAt), a)
	whole := a.body == plainBody(a.attempt)
	return a.status == 200 && a.complete && !whole, nil
}

// playColdReturn has the store down, and meanwhile a server that crashes and starts again under its
// id. It is cold then.
func playColdReturn(f *fleet) (bool, error) {
	const (
		warmUp     = 3 * time.Second
		perS       = 11.0
		limit      = perS*1.5 + 5
		ratePerS   = 120
		crashAfter = 100 * time.Millisecond
		crashTime  = 4300 * time.Millisecond
		outageTime = 8 * time.Second
	)
	f.store.put("op/config", config(1, "pool", "idempotent", false, 4000, warmUp.Seconds(), perS))
	var servers []*serverProcess
	for i := range 4 {
		s, err := f.startServer(fmt.Sprintf("pool-%d", i+1), "pool", zones[i%len(zones)], 64, 0, "-work", "20ms")
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.startHosts(8); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(22 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	wg.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			wg.Go(func() {
				a := request(f.hosts[i%len(f.hosts)].frontend, "GET", fmt.Sprintf("/notes/%d", i), "", 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
			time.Sleep(time.Second / ratePerS)
		}
	})
	time.Sleep(8 * time.Second)
	s := servers[1] // the only one of its zone, where hosts send most of their requests
	var back time.Time
	if f.trouble {
		f.store.setDown(true)
		f.note("the store is down")
		time.Sleep(crashAfter)
		s.kill()
		f.note("server %s has crashed", s.id)
		time.Sleep(crashTime)
		if err := s.launch(s.id, warmUp); err != nil {
			return false, err
		}
		back = time.Now()
		time.Sleep(outageTime - crashTime - crashAfter)
		f.store.setDown(false)
		f.note("the store is back")
	}
	wg.Wait()
	f.note("answers by status: %v", statuses)
	return f.checkCold(s, back, warmUp, limit), nil
}

// checkCold reports whether a server got more than limit requests in one second while it was cold.
func (f *fleet) checkCold(s *serverProcess, back time.Time, warmUp time.Duration, limit float64) bool {
	if back.IsZero() {
		return false
	}
	var cold []time.Time
	for _, r := range s.ran() {
		if d := r.at.Sub(back); d >= -100*time.Millisecond && d < warmUp {
			cold = append(cold, r.at)
			f.note("server %s, cold, began to run %s at %s", s.id, r.attempt, f.clock(r.at))
		}
	}
	most, first := 0, time.Time{}
	for i, at := range cold {
		n := 0
		for _, other := range cold[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		if n > most {
			most, first = n, at
		}
	}
	f.note("server %s ran %d requests while it was cold, at most %d in a second (from %.3f s after its start on); the limit is %.1f", s.id, len(cold), most, first.Sub(back).Seconds(), limit)
	return float64(most) > limit
}

// playDarkCut ends the process of a server that is in the middle of its response, and with it its
// machine falls silent.
func playDarkCut(f *fleet) (bool, error) {
	f.store.put("op/config", config(1, "register", "idempotent", false, 12000, 0, 0))
	flags := []string{"-work", "30ms", "-pause", "1500ms", "-framing", "close"}
	var servers []*serverProcess
	var paths []*proxy
	for i := range 4 {
		s, err := f.startServer(fmt.Sprintf("register-%d", i+1), "register", zones[i%len(zones)], 6, 0, flags...)
		if err != nil {
			return false, err
		}
		p, err := s.behindProxy()
		if err != nil {
			return false, err
		}
		defer p.close()
		servers, paths = append(servers, s), append(paths, p)
	}
	if err := f.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	const clients = 12
	answers := make([]answer, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			answers[i] = request(f.hosts[i%3].frontend, "GET", fmt.Sprintf("/notes/%d", i), "", 10*time.Second)
		})
	}
	time.Sleep(700 * time.Millisecond)
	if f.trouble {
		paths[0].goDark()
		servers[0].kill()
		f.note("server %s has crashed and its machine is silent", servers[0].id)
	}
	wg.Wait()
	at := make(map[string]string)
	for _, s := range servers {
		for _, r := range s.ran() {
			at[r.attempt] += " " + s.name
		}
	}
	broken := false
	for _, a := range answers {
		verdict := ""
		if a.status == 200 && a.complete && a.body != plainBody(a.attempt) {
			broken = true
			verdict = " - isn't whole and looks complete"
		}
		f.note("request sent at %s: %s, ran at%s%s", f.clock(a.sentAt), a, at[a.attempt], verdict)
	}
	if len(servers[0].ran()) == 0 {
		return false, fmt.Errorf("no request ran at server %s", servers[0].id)
	}
	return broken, nil
}

// playTwoBuilds has the store down, and meanwhile a server that crashes and starts again under its id
// as another version. Then another server crashes, and hosts go on with its streams elsewhere.
func playTwoBuilds(f *fleet) (bool, error) {
	const events, pause = 60, 150 * time.Millisecond // 9 s
	f.store.put("op/config", config(1, "pool", "streaming", true, 20000, 0, 0))
	flags := []string{"-events", fmt.Sprint(events), "-pause", pause.String(), "-framing", "chunked"}
	var servers []*serverProcess
	for i := range 4 {
		s, err := f.startServer(fmt.Sprintf("pool-%d", i+1), "pool", zones[i%len(zones)], 64, 0, flags...)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.startHosts(8); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	again, other := servers[3], servers[0] // of one zone
	const clients = 32
	answers := make([]answer, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			answers[i] = request(f.hosts[i%8].frontend, "POST", "/notes/1", "Answer the question.", 19*time.Second)
		})
	}
	time.Sleep(time.Second)
	if f.trouble {
		f.store.setDown(true)
		f.note("the store is down")
		time.Sleep(100 * time.Millisecond)
		again.kill()
		f.note("server %s has crashed", again.id)
		time.Sleep(2 * time.Second)
		again.version = "v2"
		if err := again.launch(again.id, 0); err != nil {
			return false, err
		}
		time.Sleep(2500 * time.Millisecond)
		other.kill()
		f.note("server %s has crashed", other.id)
		time.Sleep(3400 * time.Millisecond)
		f.store.setDown(false)
		f.note("the store is back")
	}
	wg.Wait()
	at := make(map[string]string)
	for _, s := range servers {
		for _, r := range s.ran() {
			at[r.attempt] += fmt.Sprintf(" %s at %s,", s.name, f.clock(r.at))
		}
	}
	mixed, ran := 0, 0
	for _, a := range answers {
		verdict := ""
		if strings.Contains(a.body, " by v1\n") && strings.Contains(a.body, " by v2\n") {
			mixed++
			verdict = " - events of two versions"
		}
		if a.status == 200 {
			ran++
		}
		f.note("request sent at %s: %s, ran at%s%s", f.clock(a.sentAt), a, at[a.attempt], verdict)
	}
	f.note("%d of %d streams hold events of two versions; more than 2 break the rule", mixed, ran)
	if ran < clients/2 {
		return false, errors.New("too few streams began")
	}
	return mixed > 2, nil
}
