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
	// gatherTime is how long changes of load are gathered before peers are told:
	// well below the time that reading a prompt takes.
	gatherTime = 3 * time.Millisecond
	// gatherPeers is the number of peers for which changes are gathered once as long.
	gatherPeers = 4
	// maxDatagram bounds a datagram with loads.
	maxDatagram = 60 << 10
)

// changes gathers the targets whose load has changed.
type changes struct {
	mu      sync.Mutex
	targets map[string]bool
	// ready has an entry while there are any.
	ready chan struct{}
}

func newChanges() *changes {
	return &changes{targets: map[string]bool{}, ready: make(chan struct{}, 1)}
}

func (c *changes) add(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[target] = true
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *changes) take() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.targets
	c.targets = map[string]bool{}
	return out
}

// load returns what this instance has at some targets, at all with nil.
func (s *Supervisor) load(targets map[string]bool) messenger.GatewayLoad {
	sequence, loads := s.balancer.Loads(targets)
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
		out.Targets[id] = messenger.TargetLoad{InFlight: l.InFlight, Pending: l.Pending}
	}
	return out
}

// takeLoad takes a load, which counts until a deadline if it is whole.
func (s *Supervisor) takeLoad(in messenger.GatewayLoad, until time.Time) {
	loads := make(map[string]balancer.Load, len(in.Targets))
	for id, l := range in.Targets {
		loads[id] = balancer.Load{InFlight: l.InFlight, Pending: l.Pending}
	}
	if !in.IsWhole {
		until = time.Time{}
	}
	s.balancer.SetPeer(loadSource(in), in.Incarnation, in.Sequence, loads, until)
}

// loadSource names whose load it is: no instance has the name of a data centre.
func loadSource(in messenger.GatewayLoad) string {
	if in.DataCentre != "" {
		return "data centre " + in.DataCentre
	}
	return in.Instance
}

// tellLoads tells peers of changes of load as they come, by datagrams: one that is
// lost is made good by the next one of its target or by the next news.
func (s *Supervisor) tellLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changes.ready:
		}
		peers := s.informer.Peers()
		if cell := s.cellOf(peers); cell != nil {
			peers = cell // the others hear of the data centre as a whole, see relayLoads
		}
		time.Sleep(gatherTime * time.Duration(max(len(peers)/gatherPeers, 1)))
		body, err := json.Marshal(s.load(s.changes.take()))
		if err != nil {
			s.log.Error(err, "load not encoded")
			continue
		}
		s.sendLoad(peers, body)
	}
}

func (s *Supervisor) sendLoad(peers []informer.Peer, body []byte) {
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer.News.LoadAddress)
		if err != nil {
			s.log.Error(err, "load address of peer", "peer", peer.News.Instance)
			continue
		}
		if _, err := s.loads.WriteToUDP(body, address); err != nil {
			s.log.V(1).Info("load not told", "peer", peer.News.Instance, "error", err.Error())
		}
	}
}

// listenLoads takes the datagrams of peers.
func (s *Supervisor) listenLoads(out *servers) error {
	address, err := net.ResolveUDPAddr("udp4", s.settings.LoadAddress)
	if err != nil {
		return errors.Wrap(err, "load address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	out.loads = conn
	s.loads = conn
	go func() { out.failed <- s.readLoads(conn) }()
	return nil
}

func (s *Supervisor) readLoads(conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return errors.Wrap(err, "read loads")
		}
		var load messenger.GatewayLoad
		if err := json.Unmarshal(buffer[:n], &load); err != nil {
			s.log.Info("load of a peer cannot be read", "error", err.Error())
			continue
		}
		s.takeDatagram(load)
	}
}
