package messenger

import "cmp"

// StoreVersion is a version of the platform's store. A store that comes back from a copy gives
// numbers out again, but in a later epoch. The zero value comes before all versions.
type StoreVersion struct {
	// Epoch is 0 if the store names none.
	Epoch  int64
	Number int64
}

// Compare returns -1 if v was given out before other, 1 if after it, and 0 if they are the same.
func (v StoreVersion) Compare(other StoreVersion) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Number, other.Number))
}

// IsBefore reports whether v was given out before other.
func (v StoreVersion) IsBefore(other StoreVersion) bool { return v.Compare(other) < 0 }

// IsAfter reports whether v was given out after other.
func (v StoreVersion) IsAfter(other StoreVersion) bool { return v.Compare(other) > 0 }

// Max returns the later one of two versions.
func (v StoreVersion) Max(other StoreVersion) StoreVersion {
	if v.IsBefore(other) {
		return other
	}
	return v
}

// IsZero reports whether v is no version.
func (v StoreVersion) IsZero() bool { return v == StoreVersion{} }

// StoreVersion returns the version of the row; its Number is 0 if the row does not exist.
func (r Row) StoreVersion() StoreVersion { return StoreVersion{Epoch: r.Epoch, Number: r.Version} }

// StoreVersion returns the version of the row.
func (r StoreRow) StoreVersion() StoreVersion { return StoreVersion{Epoch: r.Epoch, Number: r.Version} }

// StoreVersion returns the version of the table.
func (s TableSnapshot) StoreVersion() StoreVersion {
	return StoreVersion{Epoch: s.Epoch, Number: s.Version}
}

// StoreVersion returns the version up to which the changes go.
func (c TableChanges) StoreVersion() StoreVersion {
	return StoreVersion{Epoch: c.Epoch, Number: c.Version}
}

// StoreVersion returns the version of the row that the proof is about.
func (p GatewayProof) StoreVersion() StoreVersion {
	return StoreVersion{Epoch: p.RowEpoch, Number: p.RowVersion}
}

// StoreVersion returns the version that the row must have.
func (c Condition) StoreVersion() StoreVersion {
	return StoreVersion{Epoch: c.Epoch, Number: c.Version}
}

// ManifestStoreVersion returns the version up to which the instance has read the manifest's table.
func (n GatewayNews) ManifestStoreVersion() StoreVersion {
	return StoreVersion{Epoch: n.ManifestEpoch, Number: n.ManifestVersion}
}

// TargetsStoreVersion returns the version up to which the instance has read the target table.
func (n GatewayNews) TargetsStoreVersion() StoreVersion {
	return StoreVersion{Epoch: n.TargetsEpoch, Number: n.TargetsVersion}
}
