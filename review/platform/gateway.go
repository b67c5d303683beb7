package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the site file.
var bounds = map[string]any{
	"GraceSeconds": 8, "LeaseMilliseconds": 3000, "RetryRatio": 0.2, "RetryWindowSeconds": 10, "RetrySlack": 56,
	"LoadWindowSeconds": 5, "LocateSeconds": 5, "DrainMilliseconds": 2000,
}

// gateway is an instance of the system: the program of the deploy file, as a process of its own.
type gateway struct {
	name    string
	front   string
	ready   string
	peer    string
	program string
	file    string
	log     string
	record  *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ends    int
}

// Ports are taken from below the range that the system uses for outgoing channels, since instances
// and replicas listen again on the port that they had.
const (
	firstPort = 15000
	lastPort  = 31999
)

// listenFree listens on a free loopback port.
func listenFree() (net.Listener, error) {
	var err error
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		var ln net.Listener
		if ln, err = net.Listen("tcp4", address); err == nil {
			return ln, nil
		}
	}
	return nil, err
}

// freePorts returns addresses that nobody uses.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := listenFree()
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// newGateways writes the settings of instances in the given zones, as the template of the deploy
// file has them.
func newGateways(program, folder, storeAddress string, zones []string, rec *record) ([]*gateway, error) {
	const portsEach = 6
	ports, err := freePorts(portsEach * len(zones))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, len(zones)) {
		seeds = append(seeds, ports[portsEach*i+2])
	}
	var out []*gateway
	for i, zone := range zones {
		p := ports[portsEach*i:]
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), front: p[0], ready: p[1], peer: p[2], program: program, record: rec}
		g.file = filepath.Join(folder, g.name+".json")
		g.log = filepath.Join(folder, g.name+".log")
		settings, err := json.MarshalIndent(map[string]any{
			"Instance": g.name, "DataCentre": zone, "CallerAddress": p[0], "ReadinessAddress": p[1], "PeerAddress": p[2],
			"LoadAddress": p[3], "LocatorAddress": p[4], "MetricsAddress": p[5], "Seeds": seeds, "StoreAddress": storeAddress,
			"LogLevel": 0, "Bounds": bounds,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.file, settings, 0o600); err != nil {
			return nil, err
		}
		out = append(out, g)
	}
	return out, nil
}

// start starts the process. One that ends is not started again by itself.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(g.program, "gateway", g.file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.command, g.exited = command, exited
	g.mu.Unlock()
	g.record.add("instance %s starts", g.name)
	go func() {
		err := command.Wait()
		g.record.add("instance %s has ended: %v", g.name, err)
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s)
	}
}

// kill ends the process and waits until it is gone.
func (g *gateway) kill() {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-exited
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + g.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until all instances are ready; false if one has ended or is not in time.
func awaitReady(gateways []*gateway, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for _, g := range gateways {
		for !g.isReady() {
			if time.Now().After(end) || g.hasEnded() {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func killAll(gateways []*gateway) {
	var group sync.WaitGroup
	for _, g := range gateways {
		group.Add(1)
		go func() {
			defer group.Done()
			g.kill()
		}()
	}
	group.Wait()
}
