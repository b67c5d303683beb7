package follower

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// WithProofs sets the function that returns the proof to pass on with the copy, and the one that is
// called with the proof in each answer of the store or of a peer, after its rows have been applied.
func WithProofs(proof func() messenger.GatewayProof, receive func(messenger.GatewayProof)) Option {
	return func(f *Follower) { f.proof, f.receiveProof = proof, receive }
}

// WithReadable sets the function that reports whether a row can be decoded. By default all can.
func WithReadable(isReadable func(messenger.StoreRow) bool) Option {
	return func(f *Follower) { f.isReadable = isReadable }
}

// ProofFromPeer returns a proof in an answer of a peer. Only the store itself may leave the version
// out.
func ProofFromPeer(in messenger.GatewayProof) messenger.GatewayProof {
	if in.RowVersion <= 0 {
		return messenger.GatewayProof{}
	}
	return in
}

// Adopt applies the copy of a peer, beside the calls of Step. Of one that is older than this one only those
// values of lasting rows are taken that the resolver prefers.
func (f *Follower) Adopt(snapshot messenger.TableSnapshot) {
	err := f.applySnapshot(snapshot, false)
	if errors.Is(err, ErrOutdated) && f.isLasting {
		f.adoptValues(snapshot.Rows)
	}
	if err == nil || snapshot.Proof.RowVersion > 0 {
		f.receiveProof(snapshot.Proof)
	}
}

// Confirm asks for the changes once, without waiting for one, beside the calls of Step, which may be
// stuck. It does nothing before the first read. The error is that of follow or read.
func (f *Follower) Confirm(
	follow func(table string, after messenger.StoreVersion, wait time.Duration) (Changes, error), read func(table string) (messenger.TableSnapshot, error),
) error {
	version := f.Version()
	if version.IsZero() {
		return nil
	}
	changes, err := follow(f.table, version, 0)
	if err == nil {
		err = f.applyChanges(changes)
	}
	if errors.Is(err, ErrHistoryTruncated) {
		snapshot, err := read(f.table)
		if err == nil {
			f.Adopt(snapshot)
		}
		return err
	}
	if err != nil {
		return err
	}
	f.receiveProof(changes.Proof)
	return nil
}
