package supervisor

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// loadBatchDelay is how long changes of load are collected before they are sent to
	// the peers. It is well below the time that a target takes to read a prompt.
	loadBatchDelay = 3 * time.Millisecond
	// peersPerBatchDelay is the number of peers for which changes are collected for
	// another loadBatchDelay.
	peersPerBatchDelay = 4
	// maxDatagramBytes bounds a datagram with loads.
	maxDatagramBytes = 60 << 10
)

// loadChanges collects the targets whose load has changed.
type loadChanges struct {
	mu      sync.Mutex
	targets map[string]bool
	// ready receives a value when targets are added.
	ready chan struct{}
}

func newLoadChanges() *loadChanges {
	return &loadChanges{targets: map[string]bool{}, ready: make(chan struct{}, 1)}
}

func (c *loadChanges) add(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[target] = true
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *loadChanges) drain() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.targets
	c.targets = map[string]bool{}
	return out
}

// ownLoad returns the load of this instance on the given targets, or on all with nil.
func (s *Supervisor) ownLoad(targets map[string]bool) messenger.GatewayLoad {
	sequence, loads := s.balancer.LocalLoads(targets)
	out := s.encodeLoads(sequence, loads)
	out.IsWhole = targets == nil
	return out
}

func (s *Supervisor) encodeLoads(sequence int64, loads map[string]balancer.Load) messenger.GatewayLoad {
	out := messenger.GatewayLoad{
		Instance: s.settings.Instance, Incarnation: s.incarnation, Sequence: sequence,
		Targets: make(messenger.GatewayLoadTargets, len(loads)),
	}
	for id, l := range loads {
		out.Targets[id] = messenger.TargetLoad{
			InFlight: l.InFlight, Pending: l.Pending, Limit: s.knownLimit(id), Leave: s.knownLeave(id), Grants: encodeGrants(l),
		}
	}
	return out
}

func encodeReads(samples []balancer.ReadSample) []messenger.ReadSample {
	out := make([]messenger.ReadSample, 0, len(samples))
	for _, sample := range samples {
		out = append(out, messenger.ReadSample{Target: sample.Target, Model: sample.Model, MillisecondsPerToken: sample.MillisPerToken})
	}
	return out
}

func decodeReads(in []messenger.ReadSample) []balancer.ReadSample {
	out := make([]balancer.ReadSample, 0, len(in))
	for _, sample := range in {
		out = append(out, balancer.ReadSample{Target: sample.Target, Model: sample.Model, MillisPerToken: sample.MillisecondsPerToken})
	}
	return out
}

// maxLoad bounds the load that a peer reports, so that sums do not overflow.
const maxLoad = 1 << 30

// applyLoad passes the load of a peer to the balancer. A whole load is valid until a
// deadline.
func (s *Supervisor) applyLoad(in messenger.GatewayLoad, until time.Time) {
	loads := make(map[string]balancer.Load, len(in.Targets))
	for id, l := range in.Targets {
		loads[id] = decodeLoad(l)
	}
	if !in.IsWhole {
		until = time.Time{}
	}
	s.receiveLimits(in)
	s.receiveLeaves(in)
	s.balancer.SetPeerLoads(loadSource(in), in.Incarnation, in.Sequence, loads, until)
}

func decodeLoad(in messenger.TargetLoad) balancer.Load {
	out := balancer.Load{InFlight: min(max(in.InFlight, 0), maxLoad), Pending: min(max(in.Pending, 0), maxLoad)}
	if in.Grants != nil {
		out.Granted, out.AllocatorID = min(max(in.Grants.Count, 0), out.InFlight), in.Grants.AllocatorID
	}
	return out
}

// encodeGrants returns the grants in a load; nil if there are none.
func encodeGrants(l balancer.Load) *messenger.TargetGrants {
	if l.Granted == 0 {
		return nil
	}
	return &messenger.TargetGrants{Count: l.Granted, AllocatorID: l.AllocatorID}
}

// loadSource returns the name of the source of a load. The prefix keeps the names of data
// centres apart from those of instances.
func loadSource(in messenger.GatewayLoad) string {
	if in.DataCentre != "" {
		return "data centre " + in.DataCentre
	}
	return in.Instance
}

// sendLoads sends changes of load to the peers as they occur. It uses datagrams: the next
// change of the same target or the next status message makes up for a lost one.
func (s *Supervisor) sendLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.loadChanges.ready:
		}
		peers := s.informer.Peers()
		if cell := s.cellOf(peers); cell != nil {
			peers = cell // other data centres receive the sum of this one, see sendSums
		}
		time.Sleep(loadBatchDelay * time.Duration(max(len(peers)/peersPerBatchDelay, 1)))
		load := s.ownLoad(s.loadChanges.drain())
		load.Reads = encodeReads(s.balancer.TakeReadSamples())
		body, err := json.Marshal(load)
		if err != nil {
			s.log.Error(err, "load not encoded")
			continue
		}
		s.sendDatagrams(peers, body)
	}
}

func (s *Supervisor) sendDatagrams(peers []informer.Peer, body []byte) {
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer.LastStatus.LoadAddress)
		if err != nil {
			s.log.Error(err, "cannot resolve the load address of a peer", "peer", peer.LastStatus.Instance)
			continue
		}
		if _, err := s.loadConn.WriteToUDP(body, address); err != nil {
			s.log.V(1).Info("load not sent", "peer", peer.LastStatus.Instance, "error", err.Error())
		}
	}
}

// listenLoads opens the socket for the datagrams of peers and starts to receive them.
func (s *Supervisor) listenLoads(out *servers) error {
	address, err := net.ResolveUDPAddr("udp4", s.settings.LoadAddress)
	if err != nil {
		return errors.Wrap(err, "load address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	out.loadConn = conn
	s.loadConn = conn
	go func() { out.failed <- s.receiveDatagrams(conn) }()
	return nil
}

func (s *Supervisor) receiveDatagrams(conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return errors.Wrap(err, "read loads")
		}
		var load messenger.GatewayLoad
		if err := json.Unmarshal(buffer[:n], &load); err != nil {
			s.log.Info("load of a peer cannot be decoded", "error", err.Error())
			continue
		}
		s.handleDatagram(load)
	}
}
