package configurer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrBadValue tells that a value is not valid at its path.
var ErrBadValue = errors.New("invalid settings value")

// buildCatalog makes the catalog of entries. Entries were checked when they were
// accepted; one that is not valid all the same is left out.
func buildCatalog(entries []messenger.SettingEntry, revision int64) *keeper.Catalog {
	c := keeper.NewCatalog()
	c.Revision = revision
	limits := map[string]keeper.Limit{}
	for _, e := range entries {
		path, err := ParsePath(e.Path)
		if err != nil || e.Deleted {
			continue
		}
		addEntry(c, limits, path, e.Value)
	}
	for name, own := range limits {
		if team, ok := c.Teams[name]; ok {
			team.Limit = lowerLimit(team.Limit, own)
			c.Teams[name] = team
		}
	}
	return c
}

func addEntry(c *keeper.Catalog, limits map[string]keeper.Limit, path Path, value json.RawMessage) {
	switch path.Kind {
	case KindModel:
		var s messenger.ModelSetting
		if decodeStrict(value, &s) == nil {
			name := ownedName(path.Owner, path.Name)
			c.Models[name] = keeper.Model{
				Name: name, Version: s.Version, Bytes: s.Bytes, Copies: max(1, s.Copies), MaximumCopies: s.MaximumCopies,
			}
		}
	case KindAdapter:
		var s messenger.AdapterSetting
		if decodeStrict(value, &s) == nil {
			model := ownedName(path.Owner, path.Model)
			c.Adapters[model] = append(c.Adapters[model], keeper.Adapter{
				Model: model, Name: path.Name, Version: s.Version, Bytes: s.Bytes,
			})
		}
	case KindService:
		var s messenger.ServiceSetting
		if decodeStrict(value, &s) == nil {
			c.Services[path.Name] = keeper.Service{Name: path.Name, Repeatable: s.Repeatable, Targets: s.Targets}
		}
	case KindTeam:
		var s messenger.TeamSetting
		if decodeStrict(value, &s) == nil {
			c.Teams[path.Name] = keeper.Team{Name: path.Name, Digest: decodeDigest(s.CredentialDigest), Limit: keeper.Limit{
				RequestsPerSecond: s.RequestsPerSecond, Burst: s.Burst, InFlight: s.InFlight,
			}}
		}
	case KindLimit:
		var s messenger.LimitSetting
		if decodeStrict(value, &s) == nil {
			limits[path.Owner] = keeper.Limit{RequestsPerSecond: s.RequestsPerSecond, Burst: s.Burst, InFlight: s.InFlight}
		}
	}
}

func ownedName(owner, name string) string {
	if owner == "" {
		return name
	}
	return owner + "/" + name
}

// lowerLimit returns the stricter of two limits, field by field; 0 does not bound.
func lowerLimit(a, b keeper.Limit) keeper.Limit {
	return keeper.Limit{
		RequestsPerSecond: lowerBound(a.RequestsPerSecond, b.RequestsPerSecond),
		Burst:             lowerBound(a.Burst, b.Burst),
		InFlight:          lowerBound(a.InFlight, b.InFlight),
	}
}

func lowerBound[T int | float64](a, b T) T {
	if a == 0 {
		return b
	}
	if b == 0 {
		return a
	}
	return min(a, b)
}

func decodeDigest(s string) [sha256.Size]byte {
	var digest [sha256.Size]byte
	raw, err := hex.DecodeString(s)
	if err == nil && len(raw) == len(digest) {
		copy(digest[:], raw)
	}
	return digest
}

func decodeStrict(value json.RawMessage, out any) error {
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return errors.Wrap(ErrBadValue, err.Error())
	}
	return nil
}

const maxModelBytes = 1 << 44

// CheckValue reports why a value is not valid at a path. The error is ErrBadValue.
func CheckValue(path Path, value json.RawMessage) error {
	switch path.Kind {
	case KindModel:
		var s messenger.ModelSetting
		if err := decodeStrict(value, &s); err != nil {
			return err
		}
		return checkModel(s)
	case KindAdapter:
		var s messenger.AdapterSetting
		if err := decodeStrict(value, &s); err != nil {
			return err
		}
		return firstFault(checkVersion(s.Version), checkBytes(s.Bytes))
	case KindService:
		var s messenger.ServiceSetting
		return decodeStrict(value, &s)
	case KindTeam:
		var s messenger.TeamSetting
		if err := decodeStrict(value, &s); err != nil {
			return err
		}
		if raw, err := hex.DecodeString(s.CredentialDigest); err != nil || len(raw) != sha256.Size {
			return errors.Wrap(ErrBadValue, "CredentialDigest must be 64 hexadecimal digits")
		}
		return checkLimit(s.RequestsPerSecond, s.Burst, s.InFlight)
	case KindLimit:
		var s messenger.LimitSetting
		if err := decodeStrict(value, &s); err != nil {
			return err
		}
		return checkLimit(s.RequestsPerSecond, s.Burst, s.InFlight)
	}
	return errors.Wrapf(ErrBadValue, "kind %q", path.Kind)
}

func checkModel(s messenger.ModelSetting) error {
	if s.Copies < 0 || s.MaximumCopies < 0 || (s.MaximumCopies > 0 && s.MaximumCopies < s.Copies) {
		return errors.Wrap(ErrBadValue, "Copies and MaximumCopies must be 0 or more, and MaximumCopies 0 or at least Copies")
	}
	return firstFault(checkVersion(s.Version), checkBytes(s.Bytes))
}

func checkVersion(version string) error {
	if !segment.MatchString(version) {
		return errors.Wrapf(ErrBadValue, "Version %.40q", version)
	}
	return nil
}

func checkBytes(n int64) error {
	if n <= 0 || n > maxModelBytes {
		return errors.Wrapf(ErrBadValue, "Bytes %d", n)
	}
	return nil
}

func checkLimit(rate float64, burst, inFlight int) error {
	if rate < 0 || burst < 0 || inFlight < 0 {
		return errors.Wrap(ErrBadValue, "limits must be 0 or more")
	}
	return nil
}

func firstFault(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}
