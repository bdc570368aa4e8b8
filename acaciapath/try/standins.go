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

// overridesFile is the name of the file that adapts the configuration to the stand-ins.
// It sorts last, so that its settings override those of the other files.
const overridesFile = "zz-try.ini"

// standIns are the stand-ins for the systems that the daemons call.
type standIns struct {
	platform      *platform.Server
	engines       *fleet.Fleet
	plainServices []*plain.Service
	// addresses are the addresses of the configured backend servers by name. Those that
	// the platform starts when they are ordered are not included.
	addresses map[string]string
}

// startStandIns starts the platform stand-in and a stand-in for each backend server in
// the configuration.
func startStandIns(c *config.Config, platformPort int) (*standIns, error) {
	s := &standIns{
		engines:   fleet.New(fleet.Options{EngineOptions: engine.Options{Slots: maxSlots(c)}}),
		addresses: make(map[string]string),
	}
	s.platform = platform.New(platform.Options{Launcher: s.engines, ChecksFencing: true})
	if err := s.platform.Start(loopbackAddress(platformPort)); err != nil {
		return nil, errors.Join(err, s.close())
	}
	for i := range c.BackendServers {
		if err := s.startBackendServer(c, &c.BackendServers[i]); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

// maxSlots returns the largest number of slots of a pool or backend server.
func maxSlots(c *config.Config) int {
	slots := 0
	for _, p := range c.Pools {
		slots = max(slots, p.Slots)
	}
	for _, b := range c.BackendServers {
		slots = max(slots, b.Slots)
	}
	return slots
}

// startBackendServer starts an engine or a plain service for a backend server.
func (s *standIns) startBackendServer(c *config.Config, b *config.BackendServer) error {
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
	if err := service.Start(loopbackAddress(0)); err != nil {
		return err
	}
	s.plainServices = append(s.plainServices, service)
	s.addresses[b.Name] = service.Address()
	return nil
}

// overrides returns the file that sets the addresses of the backend servers and declares
// the key.
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

// close stops all stand-ins.
func (s *standIns) close() error {
	err := errors.Join(s.platform.Close(), s.engines.Close())
	for _, service := range s.plainServices {
		err = errors.Join(err, service.Close())
	}
	return err
}
