package supervisor

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// origin is the way by which a manifest reaches this instance.
type origin string

// Origins.
const (
	// originStoreFeed and originStoreTable are the calls of the follower to the store: for changes, and for
	// the whole table.
	originStoreFeed  origin = "StoreFeed"
	originStoreTable origin = "StoreTable"
	// originReaderFeed and originReaderTable are the same through an instance that reads the store for
	// others.
	originReaderFeed  origin = "ReaderFeed"
	originReaderTable origin = "ReaderTable"
	// originDirect is a call to the store beside those of the follower, for want of a proof.
	originDirect origin = "Direct"
	// originPeerProof is a read from a peer whose status has a proof for a newer manifest, and originPeerCopy
	// one from a peer while the store is away.
	originPeerProof origin = "PeerProof"
	originPeerCopy  origin = "PeerCopy"
)

// arrival describes an answer with rows of a table.
type arrival struct {
	table string
	from  origin
	// peer is the instance that sent it; empty for the store.
	peer string
	// age is how long before the answer the peer had the last one from the store.
	age   time.Duration
	rows  []messenger.StoreRow
	proof messenger.GatewayProof
}

// observeArrival logs and counts an answer that brings a manifest which this instance does not have yet. It
// is called before the rows are applied. Two answers may bring the same manifest at once.
func (s *Supervisor) observeArrival(a arrival) {
	if a.table != s.platform.ManifestTable {
		return
	}
	for _, row := range a.rows {
		if row.Key != s.platform.ManifestKey || !row.StoreVersion().IsAfter(s.confirmer.Applied()) {
			continue
		}
		earliest, latest, _ := s.platform.Clock()
		s.lateness.arrives(row.StoreVersion(), a.from)
		s.measurer.CountEvent(measurer.ManifestArrival(string(a.from)), 1)
		s.log.Info("manifest arrives", "rowEpoch", row.Epoch, "rowVersion", row.Version, "from", a.from, "peer", a.peer, "ageMilliseconds", a.age.Milliseconds(),
			"provedAtStoreMilliseconds", a.proof.StoreMilliseconds, "storeEarliestMilliseconds", earliest, "storeLatestMilliseconds", latest)
	}
}

// followStore returns the changes of a table from the store.
func (s *Supervisor) followStore(from origin) func(table string, after messenger.StoreVersion, wait time.Duration) (follower.Changes, error) {
	return func(table string, after messenger.StoreVersion, wait time.Duration) (follower.Changes, error) {
		changes, err := s.platform.Follow(table, after, wait)
		s.observeArrival(arrival{table: table, from: from, rows: changes.Rows, proof: changes.Proof})
		return changes, err
	}
}

// readStore returns a whole table from the store.
func (s *Supervisor) readStore(from origin) func(table string) (messenger.TableSnapshot, error) {
	return func(table string) (messenger.TableSnapshot, error) {
		snapshot, err := s.platform.Read(table)
		s.observeArrival(arrival{table: table, from: from, rows: snapshot.Rows, proof: snapshot.Proof})
		return snapshot, err
	}
}

// observeSnapshot observes a peer's copy of a table.
func (s *Supervisor) observeSnapshot(table string, from origin, peer string, snapshot messenger.TableSnapshot) {
	age := time.Duration(snapshot.AgeMilliseconds) * time.Millisecond
	s.observeArrival(arrival{table: table, from: from, peer: peer, age: age, rows: snapshot.Rows, proof: snapshot.Proof})
}

// registerManifestGauges adds the manifest in force to the metrics, and the greatest possible age, in
// milliseconds, of the proof that it was the newest one; -1 without proof.
func (s *Supervisor) registerManifestGauges() {
	s.measurer.RegisterGauge("Manifest.Version", func() int64 {
		if manifest := s.registry.View().Manifest; manifest != nil {
			return manifest.Version
		}
		return 0
	})
	s.measurer.RegisterGauge("Manifest.RowEpoch", func() int64 { return s.confirmer.Applied().Epoch })
	s.measurer.RegisterGauge("Manifest.RowVersion", func() int64 { return s.confirmer.Applied().Number })
	s.measurer.RegisterGauge("Manifest.ProofAgeMilliseconds", s.proofAgeMilliseconds)
}

func (s *Supervisor) proofAgeMilliseconds() int64 {
	age, ok := s.proofAge()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}
