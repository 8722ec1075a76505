package source

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// memberListBody is the body of the platform's membership answer.
type memberListBody struct {
	Revision uint64                    `json:"revision"`
	Members  []membership.ListedMember `json:"members"`
}

// decodeHead decodes the body that states the platform's current version.
func decodeHead(body []byte) (snapshot.Version, error) {
	var version snapshot.Version
	if err := decodeStrict(body, &version); err != nil {
		return snapshot.Version{}, err
	}
	if version.Revision == 0 || version.Hash == (snapshot.ContentHash{}) {
		return snapshot.Version{}, eris.New("the platform's current version has no revision or no hash")
	}
	return version, nil
}

// decodeDocument decodes the body of the configuration and checks that its version
// matches the entity tag.
func decodeDocument(body []byte, etag string) (*snapshot.Document, error) {
	document, err := decodeContent(body)
	if err != nil {
		return nil, err
	}
	if etag != ETag(document.Version()) {
		return nil, eris.Errorf("the ETag does not match the content of version %s", document.Version())
	}
	return document, nil
}

func decodeContent(body []byte) (*snapshot.Document, error) {
	var content snapshot.Content
	if err := decodeStrict(body, &content); err != nil {
		return nil, err
	}
	if content.Revision == 0 {
		return nil, eris.New("the document has no revision")
	}
	if err := checkSupported(content); err != nil {
		return nil, err
	}
	if err := snapshot.CheckServiceNames(content.Services); err != nil {
		return nil, eris.Wrap(err, "invalid document")
	}
	document, err := snapshot.NewDocument(content)
	if err != nil {
		return nil, eris.Wrap(err, "invalid document")
	}
	return document, nil
}

// checkSupported refuses what the proxies for this kind of source do not enforce: they would serve
// callers without a key, and in any region.
func checkSupported(content snapshot.Content) error {
	if len(content.Tenants) > 0 || content.Limits != nil && content.Limits.RequireKeys {
		return eris.New("tenants and keys are supported only with a store (platform.kind)")
	}
	for _, route := range content.Routes {
		if len(route.AllowedRegions) > 0 {
			return eris.Errorf("route %q: allowed regions are supported only with a store (platform.kind)", route.Name)
		}
	}
	return nil
}

// decodeMembers decodes the body of the membership list.
func decodeMembers(body []byte) (MemberList, error) {
	var list memberListBody
	if err := decodeStrict(body, &list); err != nil {
		return MemberList{}, err
	}
	seen := make(map[membership.NodeID]bool, len(list.Members))
	for index, member := range list.Members {
		if err := checkMember(member); err != nil {
			return MemberList{}, eris.Wrapf(err, "member %d", index)
		}
		if seen[member.Node] {
			return MemberList{}, eris.Errorf("member %d: the node %q is listed twice", index, member.Node)
		}
		seen[member.Node] = true
	}
	return MemberList{Members: list.Members, Revision: list.Revision}, nil
}

func checkMember(member membership.ListedMember) error {
	if member.Node == "" {
		return eris.New("the entry has no node name")
	}
	if member.State != membership.ListedLive && member.State != membership.ListedLeaving {
		return eris.Errorf("node %q has an unknown state", member.Node)
	}
	if _, err := netip.ParseAddrPort(member.PeerAddress); err != nil {
		return eris.Errorf("node %q: the peer address is not IP:port", member.Node)
	}
	return nil
}

// decodeStrict decodes exactly one JSON value without unknown fields. Its errors
// give the position of the fault but quote nothing of the body, which may hold
// secrets.
func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return redactValues(err, len(body))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return eris.Errorf("data follows the JSON value at byte %d", decoder.InputOffset())
	}
	return nil
}

// redactValues replaces an error of encoding/json, whose text may quote the body.
func redactValues(err error, length int) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return eris.Errorf("not JSON at byte %d", syntax.Offset)
	case errors.As(err, &wrongType):
		return eris.Errorf("field %q has the wrong type at byte %d", wrongType.Field, wrongType.Offset)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return eris.Errorf("the JSON ends early at byte %d", length)
	default:
		return eris.New("the JSON has an unknown field or a malformed value")
	}
}
