package main

import (
	"encoding/json"
	"errors"
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

// Bounds of the deployment, as in the site file wilgenrand-patrol.
const (
	contactTime   = 3 * time.Second
	applyTime     = 2 * time.Second
	graceTime     = 8 * time.Second
	leaseTime     = 3 * time.Second
	drainTime     = 2 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// instance is a process of the system.
type instance struct {
	name, zone string
	caller     string
	readiness  string
	peer       string
	load       string
	locator    string
	metrics    string
	settings   string
	logPath    string
	binary     string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
}

// Ports below those that the operating system gives to outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var errNoPorts = errors.New("no free ports")

// freeAddresses returns loopback addresses that nothing listens on.
func freeAddresses(count int) ([]string, error) {
	const tries = 50
	out := []string{}
	for range count * tries {
		if len(out) == count {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }()
		out = append(out, address)
	}
	return nil, errNoPorts
}

// addInstances prepares instances with the settings of a small deployment.
func (w *world) addInstances(zones ...string) error {
	const ports = 6
	addresses, err := freeAddresses(ports * len(zones))
	if err != nil {
		return err
	}
	for n, zone := range zones {
		a := addresses[n*ports:]
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, binary: w.binary,
			caller: a[0], readiness: a[1], peer: a[2], load: a[3], locator: a[4], metrics: a[5],
		}
		i.settings = filepath.Join(w.folder, i.name+".json")
		i.logPath = filepath.Join(w.folder, i.name+".log")
		w.instances = append(w.instances, i)
	}
	seeds := []string{}
	for _, i := range w.instances[:min(len(w.instances), 3)] {
		seeds = append(seeds, i.peer)
	}
	for _, i := range w.instances {
		if err := i.writeSettings(w.store.address, seeds); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes what the template deploy/gateway.json gives for the instance.
func (i *instance) writeSettings(storeAddress string, seeds []string) error {
	settings := map[string]any{
		"Instance": i.name, "DataCentre": i.zone, "CallerAddress": i.caller, "ReadinessAddress": i.readiness, "PeerAddress": i.peer,
		"LoadAddress": i.load, "LocatorAddress": i.locator, "MetricsAddress": i.metrics, "Seeds": seeds, "StoreAddress": storeAddress,
		"LogLevel": 0, "MemoryMegabytes": 414, "MaxDescriptors": 6150, "HedgeShare": 0,
		"Bounds": map[string]any{
			"GraceSeconds": graceTime.Seconds(), "LeaseMilliseconds": leaseTime.Milliseconds(), "RetryRatio": 0.2, "RetryWindowSeconds": 10,
			"RetrySlack": 56, "LoadWindowSeconds": 5, "LocateSeconds": 5, "DrainMilliseconds": drainTime.Milliseconds(),
			"RevokeMilliseconds": 0, "QuotaWindowSeconds": 0, "QuotaOverage": 0, "QuotaSlack": 0,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	out, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(i.binary, "gateway", i.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process, i.ended = command.Process, ended
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Signal(s)
	}
}

// kill ends the process, if it runs, and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	process, ended := i.process, i.ended
	i.process = nil
	i.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Kill()
	<-ended
}

// stopAndStart stops the process as planned work does, and starts it again.
func (i *instance) stopAndStart(pause time.Duration) error {
	i.signal(syscall.SIGTERM)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(graceTime):
		i.kill()
	}
	time.Sleep(pause)
	return i.start()
}

var errNotReady = errors.New("instances are not ready")

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	const longest = 20 * time.Second
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range w.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(w.instances) {
			return nil
		}
	}
	return errNotReady
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	answer, err := client.Get("http://" + i.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
