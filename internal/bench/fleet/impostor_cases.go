package fleet

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// impostorTargets is how many nodes an impostor opens links to.
const impostorTargets = 8

// withImpostor runs a step while a peer misbehaves towards some nodes, and checks
// that it was heard.
func (t *trial) withImpostor(ctx context.Context, claims snapshot.Version, act misbehaviour, run func() error) error {
	targets := t.running()
	targets = targets[:min(len(targets), impostorTargets)]
	peer := t.startImpostor(1, claims, targets, act)
	reach, cancel := context.WithTimeout(ctx, t.options.Patience)
	defer cancel()
	err := peer.awaitReached(reach)
	if err == nil {
		err = run()
	}
	if stopErr := peer.stop(); err == nil {
		err = stopErr
	}
	return err
}

// slowPeerMemory bounds what nodes may hold for a peer that does not read: the
// frames asked for would take a hundred times as much.
const slowPeerMemory = 16 << 20

// slowPeer asks for documents without reading them, during changes.
func slowPeer(ctx context.Context, t *trial) error {
	before := memoryInUse()
	return t.withImpostor(ctx, t.platform.Version(), beSlow, func() error {
		if err := t.changesBeside(ctx, "a change beside a slow peer"); err != nil {
			return err
		}
		held := int64(memoryInUse()) - int64(before)
		t.log("memory grew by %d KiB", held>>10)
		if held > slowPeerMemory*impostorTargets {
			return eris.Errorf("memory grew by %d bytes", held)
		}
		return nil
	})
}

// garbagePeer sends random bytes, during changes.
func garbagePeer(ctx context.Context, t *trial) error {
	return t.withImpostor(ctx, t.platform.Version(), sendGarbage(t.options.Seed), func() error {
		return t.changesBeside(ctx, "a change beside a peer that sends garbage")
	})
}

func (t *trial) changesBeside(ctx context.Context, name string) error {
	const changes = 3
	for range changes {
		if err := t.changeOn(ctx, name, t.running()); err != nil {
			return err
		}
	}
	return nil
}

// hugeRevision is far beyond any that the platform will publish.
const hugeRevision = 1 << 40

// hugeRevisionWrongContent claims a version and delivers content that does not
// have its hash.
func hugeRevisionWrongContent(ctx context.Context, t *trial) error {
	document, err := snapshot.NewDocument(t.platform.Content())
	if err != nil {
		return err
	}
	forged := snapshot.Version{Revision: hugeRevision, Hash: document.Version().Hash}
	forged.Hash[0]++
	update := wholeUpdate(document)
	update.Target = forged
	return t.withImpostor(ctx, forged, claim(update), func() error {
		return t.changesBeside(ctx, "a change beside a forged version")
	})
}

// hugeRevisionBadPolicy claims a revision and delivers a document that has the
// promised hash and a policy that does not compile.
func hugeRevisionBadPolicy(ctx context.Context, t *trial) error {
	content := t.platform.Content()
	content.Revision = hugeRevision
	content.Policies = append(content.Policies[:len(content.Policies):len(content.Policies)],
		snapshot.Policy{Name: "bad.star", Program: "route("})
	document, err := snapshot.NewDocument(content)
	if err != nil {
		return err
	}
	return t.withImpostor(ctx, document.Version(), claim(wholeUpdate(document)), func() error {
		return t.changesBeside(ctx, "a change beside a bad version")
	})
}
