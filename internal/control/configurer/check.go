package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/inspector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrBadValue tells that a value is not valid at its path.
var ErrBadValue = errors.New("invalid settings value")

const (
	maxModelBytes = 1 << 44
	maxValueBytes = 64 << 10
	mostChanges   = 1000 // in one request
	maxCopies     = 100_000
	maxLimit      = 1e9
)

var operationID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Check reports what is wrong with a change that an operator asks for. The
// error is ErrBadPath, ErrForbidden or ErrBadValue.
func Check(operator Operator, req messenger.ChangeRequest) error {
	if n := len(req.Changes); n == 0 || n > mostChanges {
		return errors.Wrapf(ErrBadValue, "%d changes", n)
	}
	if !operationID.MatchString(req.OperationID) {
		return errors.Wrapf(ErrBadValue, "operation ID %.40q", req.OperationID)
	}
	seen := map[string]bool{}
	for _, change := range req.Changes {
		path, err := ParsePath(change.Path)
		if err != nil {
			return err
		}
		if !operator.MayChange(path) {
			return errors.Wrap(ErrForbidden, change.Path)
		}
		if seen[change.Path] {
			return errors.Wrapf(ErrBadValue, "%s is changed twice", change.Path)
		}
		seen[change.Path] = true
		if change.Delete {
			continue
		}
		if err := CheckValue(path, change.Value); err != nil {
			return errors.Wrap(err, change.Path)
		}
	}
	return nil
}

// ValueType returns the type of the values of a kind.
func ValueType(kind Kind) reflect.Type {
	switch kind {
	case KindModel:
		return reflect.TypeFor[messenger.ModelSetting]()
	case KindAdapter:
		return reflect.TypeFor[messenger.AdapterSetting]()
	case KindService:
		return reflect.TypeFor[messenger.ServiceSetting]()
	case KindTeam:
		return reflect.TypeFor[messenger.TeamSetting]()
	default:
		return reflect.TypeFor[messenger.LimitSetting]()
	}
}

func decodeStrict(value json.RawMessage, out any) error {
	if len(value) > maxValueBytes {
		return errors.Wrapf(ErrBadValue, "%d bytes", len(value))
	}
	if err := inspector.Decode(value, out); err != nil {
		return errors.Wrap(ErrBadValue, err.Error())
	}
	return nil
}

// CheckValue reports why a value is not valid at a path. The error is ErrBadValue.
func CheckValue(path Path, value json.RawMessage) error {
	out := reflect.New(ValueType(path.Kind))
	if err := decodeStrict(value, out.Interface()); err != nil {
		return err
	}
	switch s := out.Interface().(type) {
	case *messenger.ModelSetting:
		return checkModel(*s)
	case *messenger.AdapterSetting:
		return firstFault(checkVersion(s.Version), checkBytes(s.Bytes))
	case *messenger.ServiceSetting:
		return checkTargets(s.Targets)
	case *messenger.TeamSetting:
		return firstFault(checkDigest(s.CredentialDigest), checkLimit(s.RequestsPerSecond, s.Burst, s.InFlight))
	case *messenger.LimitSetting:
		return checkLimit(s.RequestsPerSecond, s.Burst, s.InFlight)
	}
	return errors.Wrapf(ErrBadValue, "kind %q", path.Kind)
}

func checkModel(s messenger.ModelSetting) error {
	isInRange := s.Copies >= 0 && s.Copies <= maxCopies && s.MaximumCopies >= 0 && s.MaximumCopies <= maxCopies
	if !isInRange || (s.MaximumCopies > 0 && s.MaximumCopies < s.Copies) {
		return errors.Wrap(ErrBadValue, "Copies and MaximumCopies must be 0 or more, and MaximumCopies 0 or at least Copies")
	}
	return firstFault(checkVersion(s.Version), checkBytes(s.Bytes))
}

func checkVersion(version string) error {
	if !segment.MatchString(version) || len(version) > mostSegmentBytes {
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

func checkTargets(targets []string) error {
	seen := map[string]bool{}
	for _, target := range targets {
		if target == "" || seen[target] {
			return errors.Wrapf(ErrBadValue, "Targets name %.40q twice or an empty ID", target)
		}
		seen[target] = true
	}
	if len(targets) == 0 {
		return errors.Wrap(ErrBadValue, "Targets must not be empty")
	}
	return nil
}

func checkDigest(digest string) error {
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
		return errors.Wrap(ErrBadValue, "CredentialDigest must be 64 hexadecimal digits")
	}
	return nil
}

func checkLimit(rate float64, burst, inFlight int) error {
	if rate < 0 || rate > maxLimit || burst < 0 || burst > maxLimit || inFlight < 0 || inFlight > maxLimit {
		return errors.Wrapf(ErrBadValue, "limits must be from 0 to %.0f", maxLimit)
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

// checkReferences reports a change that would leave an adapter without its
// model or a subtree without its team, or give two adapters the same name at
// engines. The error is ErrBadValue.
func checkReferences(known entries, changes []messenger.SettingChange) error {
	after := make(entries, len(known)+len(changes))
	for path, e := range known {
		after[path] = e
	}
	for _, change := range changes {
		after[change.Path] = messenger.SettingEntry{Path: change.Path, Deleted: change.Delete, Value: change.Value}
	}
	for _, change := range changes {
		path, err := ParsePath(change.Path)
		if err != nil {
			return err
		}
		if change.Delete {
			err = checkUnused(after, path)
		} else {
			err = checkNeeds(after, path)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkUnused reports what still needs a deleted path.
func checkUnused(after entries, path Path) error {
	var below string
	switch path.Kind {
	case KindModel:
		below = path.subtree() + "/adapters/" + path.Name + "/"
	case KindTeam:
		below = "/teams/" + path.Name + "/"
	default:
		return nil
	}
	for text := range after {
		if strings.HasPrefix(text, below) && after.has(text) {
			return errors.Wrapf(ErrBadValue, "%s is needed by %s", path.Text, text)
		}
	}
	return nil
}

// checkNeeds reports what a path that is set lacks.
func checkNeeds(after entries, path Path) error {
	if path.Owner != "" && !after.has("/platform/teams/"+path.Owner) {
		return errors.Wrapf(ErrBadValue, "%s needs team %s", path.Text, path.Owner)
	}
	if path.Kind != KindAdapter {
		return nil
	}
	if !after.has(path.subtree() + "/models/" + path.Model) {
		return errors.Wrapf(ErrBadValue, "%s needs model %s", path.Text, path.Model)
	}
	return checkAdapterName(after, path)
}

// checkAdapterName reports another adapter of the model whose name and version
// join to the same name at engines.
func checkAdapterName(after entries, path Path) error {
	siblings := path.subtree() + "/adapters/" + path.Model + "/"
	own := adapterName(after[path.Text].Value, path.Name)
	for text, e := range after {
		if text == path.Text || e.Deleted || !strings.HasPrefix(text, siblings) {
			continue
		}
		if adapterName(e.Value, strings.TrimPrefix(text, siblings)) == own {
			return errors.Wrapf(ErrBadValue, "%s has the same name and version at engines as %s", path.Text, text)
		}
	}
	return nil
}
