package settings

import (
	"time"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Defaults returns the settings of a node without a file or flags. They don't pass
// the check, as the name, the region, the zone and the addresses have no default.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			Kind:              PlatformDocuments,
			Timeout:           5 * time.Second,
			MaxBodyBytes:      16 * mebibyte,
			HeartbeatInterval: configuration.DefaultHeartbeatInterval,
		},
		Peers: Peers{
			ReadersPerZone: 3,
			MaxLinks:       6,
		},
		Outbound: Outbound{
			MaxHeaderBytes: 32 * kibibyte,
			MaxBodyBytes:   16 * mebibyte,
			HeaderTimeout:  5 * time.Second,
			RetryRatio:     0.1,
			Balance:        "two-choices",
		},
		Inbound: Inbound{
			Slots:                   20,
			Connections:             130,
			MaxQueued:               40,
			HealthInterval:          time.Second,
			DrainGrace:              30 * time.Second,
			DrainNotice:             2800 * time.Millisecond,
			IdempotencyKeyRetention: 2 * time.Minute,
			IdempotencyKeyReplicas:  5,
		},
		Mechanisms: mechanism.All(),
		Retries: Retries{
			Ratio:  0.2,
			Slack:  60,
			Window: 10 * time.Second,
		},
		Admin: Admin{Listen: "127.0.0.1:7900"},
		Log:   Log{Level: "info", Format: "text"},
	}
}
