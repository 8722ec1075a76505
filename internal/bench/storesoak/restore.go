package storesoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

// kindsBeforeRestores is how many kinds of faults precede restoreStore. Regressions with at
// most that many run with a store without eras, as they did when they were recorded.
const kindsBeforeRestores = 22

const (
	// backupInterval is the time between backups of the store.
	backupInterval = 250 * time.Millisecond
	// oldestBackup and youngestBackup bound the age of the backup that the store is restored
	// from.
	oldestBackup, youngestBackup = 8 * time.Second, 500 * time.Millisecond
	// longestRewrite bounds how long operators and instances take to write the lost entries
	// again.
	longestRewrite = 1500 * time.Millisecond
)

// backups keeps the latest backups of the store. It is safe for concurrent use.
type backups struct {
	mutex sync.Mutex
	kept  []timedBackup
}

type timedBackup struct {
	at     time.Time
	backup store.Backup
}

// run makes a backup every backupInterval until the context ends.
func (b *backups) run(ctx context.Context, emulated *store.Store) {
	for wait.For(ctx, backupInterval) == nil {
		b.mutex.Lock()
		b.kept = append(b.kept, timedBackup{time.Now(), emulated.Backup()})
		if time.Since(b.kept[0].at) > oldestBackup {
			b.kept = b.kept[1:]
		}
		b.mutex.Unlock()
	}
}

// ofAge returns the newest backup that has at least the given age, or else the oldest one;
// false if there is none.
func (b *backups) ofAge(age time.Duration) (store.Backup, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.kept) == 0 {
		return store.Backup{}, false
	}
	for i := len(b.kept) - 1; i >= 0; i-- {
		if time.Since(b.kept[i].at) >= age {
			return b.kept[i].backup, true
		}
	}
	return b.kept[0].backup, true
}

// restoreStore makes the store unavailable and restores it from a backup. Operators and
// instances then write the lost entries again, one after the other.
func restoreStore(random *rand.Rand, f *fleet) fault {
	outage := storeDown(random, f)
	outage.name, outage.storeState = "store restored; "+outage.name, storeRestored
	age := youngestBackup + time.Duration(random.Int64N(int64(oldestBackup-youngestBackup)))
	rewrite := time.Duration(random.Int64N(int64(longestRewrite)))
	open := outage.undo
	outage.undo = func(ctx context.Context) error {
		backup, found := f.backups.ofAge(age)
		if !found {
			return open(ctx)
		}
		lost := f.store.Restore(backup)
		if err := open(ctx); err != nil {
			return err
		}
		keys := lost.Keys()
		for _, key := range keys {
			f.store.RestoreLost(lost, key)
			if err := wait.For(ctx, rewrite/time.Duration(len(keys))); err != nil {
				return err
			}
		}
		return nil
	}
	return outage
}
