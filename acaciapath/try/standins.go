package try

import (
	"errors"
	"strings"

	"acaciapath.example/core/config"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fleet"
	"acaciapath.example/standin/plain"
	"acaciapath.example/standin/platform"
)

// overridesFile changes the configuration to what runs here. It is merged last.
const overridesFile = "zz-try.ini"

// standIns take the place of what the project speaks to.
type standIns struct {
	platform *platform.Server
	engines  *fleet.Fleet
	plain    []*plain.Service
	// addresses are those of the backend servers that are not ordered, by name.
	addresses map[string]string
}

// startStandIns starts the platform and the backend servers that the
// configuration names.
func startStandIns(c *config.Config, platformPort int) (*standIns, error) {
	s := &standIns{
		engines:   fleet.New(fleet.Options{EngineOptions: engine.Options{Slots: placesOf(c)}}),
		addresses: make(map[string]string),
	}
	s.platform = platform.New(platform.Options{Launcher: s.engines, ChecksFencing: true})
	if err := s.platform.Start(address(platformPort)); err != nil {
		return nil, errors.Join(err, s.close())
	}
	for i := range c.BackendServers {
		if err := s.startServer(c, &c.BackendServers[i]); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

// placesOf returns the greatest number of requests that a backend server is
// given at once.
func placesOf(c *config.Config) int {
	places := 0
	for _, p := range c.Pools {
		places = max(places, p.Slots)
	}
	for _, b := range c.BackendServers {
		places = max(places, b.Slots)
	}
	return places
}

// startServer starts the engine or the plain service of a backend server.
func (s *standIns) startServer(c *config.Config, b *config.BackendServer) error {
	if b.PlainService == "" {
		e, err := s.engines.Start(b.Name, b.Models...)
		if err != nil {
			return err
		}
		s.addresses[b.Name] = e.Address()
		return nil
	}
	options := plain.Options{Name: b.Name}
	for _, p := range c.PlainServices {
		if p.Name == b.PlainService {
			options.ChecksIdempotency = p.ChecksIdempotencyKey
		}
	}
	service := plain.New(options)
	if err := service.Start(address(0)); err != nil {
		return err
	}
	s.plain = append(s.plain, service)
	s.addresses[b.Name] = service.Address()
	return nil
}

// overrides returns a file that puts the addresses of the backend servers and a
// key in place.
func (s *standIns) overrides(c *config.Config, key config.Key) config.File {
	var b strings.Builder
	b.WriteString("# Written by acaciapath try.\n")
	for _, server := range c.BackendServers {
		b.WriteString("[backend-server " + server.Name + "]\n")
		b.WriteString("address = " + s.addresses[server.Name] + "\n\n")
	}
	b.WriteString(config.KeySection(key))
	return config.File{Name: overridesFile, Text: b.String()}
}

// close stops all at once.
func (s *standIns) close() error {
	err := errors.Join(s.platform.Close(), s.engines.Close())
	for _, service := range s.plain {
		err = errors.Join(err, service.Close())
	}
	return err
}
