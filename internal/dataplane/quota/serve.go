package quota

import "github.com/winchhead/winchhead/internal/snapshot"

// Serve answers another node's request for tokens by this node's own configuration.
func (l *Limiter) Serve(current *snapshot.Snapshot, message []byte) ([]byte, error) {
	asked, err := decodeRequest(message)
	if err != nil {
		return nil, err
	}
	return l.serve(current, asked).encode()
}

func (l *Limiter) serve(current *snapshot.Snapshot, asked tokenRequest) tokenResponse {
	if current == nil {
		return tokenResponse{}
	}
	tenant := current.Tenant(asked.Tenant)
	if tenant == nil {
		return tokenResponse{}
	}
	if tenant.RequestsPerSecond <= 0 {
		return responseOf(Grant{Tokens: asked.Wanted})
	}
	now := l.options.Now()
	ranked, _, since := l.owners.of(current, asked.Tenant, now)
	for rank, node := range ranked {
		if node == l.options.Node {
			return responseOf(l.granter.grant(tenant, shareOf(rank), asked.Wanted, since, now))
		}
	}
	return tokenResponse{}
}
