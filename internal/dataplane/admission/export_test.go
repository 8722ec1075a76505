package admission

// Size returns the number of classes whose slot time is stored.
func (g *Grants) Size() int { return len(g.recent.seconds) + len(g.usual.seconds) }

// Size returns the number of services that are stored.
func (s *Services) Size() int { return len(s.services) }
