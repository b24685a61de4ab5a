package platform

import (
	"encoding/json"
	"net"
	"regexp"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/platformapi"
)

// namePattern is the pattern of instance IDs and data centres in schema/platformapi.json.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func decodeWatch(body []byte) (*platformapi.WatchAnswer, error) {
	out := &platformapi.WatchAnswer{}
	if err := json.Unmarshal(body, out); err != nil {
		return nil, errors.Wrap(errors.Join(ErrInvalid, err), "decode watch answer")
	}
	if out.Revision < 0 || out.InstancesVersion < 0 {
		return nil, errors.Wrapf(ErrInvalid, "watch answer: invalid revision %d or instance list version %d", out.Revision, out.InstancesVersion)
	}
	return out, nil
}

func decodeInstances(body []byte) (*platformapi.InstanceList, int, error) {
	read := platformapi.InstanceList{}
	if err := json.Unmarshal(body, &read); err != nil {
		return nil, 0, errors.Wrap(errors.Join(ErrInvalid, err), "decode instance list")
	}
	if read.Version < 0 {
		return nil, 0, errors.Wrapf(ErrInvalid, "instance list: invalid version %d", read.Version)
	}
	out := &platformapi.InstanceList{Version: read.Version}
	seen := make(map[string]bool, len(read.Instances))
	for _, instance := range read.Instances {
		if !validInstance(instance) || seen[instance.ID] {
			continue
		}
		seen[instance.ID] = true
		out.Instances = append(out.Instances, instance)
	}
	return out, len(read.Instances) - len(out.Instances), nil
}

func validInstance(instance platformapi.Instance) bool {
	return namePattern.MatchString(instance.ID) &&
		namePattern.MatchString(instance.DataCentre) &&
		validAddress(instance.CallerAddress) &&
		validAddress(instance.PeerAddress) &&
		(instance.State == platformapi.InstanceStateLive || instance.State == platformapi.InstanceStateLeaving)
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && host != "" && port != ""
}
