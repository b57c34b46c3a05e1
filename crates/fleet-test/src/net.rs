//! Addresses and ports of a fleet, checked to be free when chosen.

use crate::ScenarioError;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

/// Ports below the kernel's range for outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 20_000..32_000;
/// Ports that a machine uses: four for interfaces, the rest between nodes.
const PORTS_PER_MACHINE: u16 = 8;
/// Networks tried before giving up.
const MAX_ATTEMPTS: usize = 50;

/// A network of loopback addresses, 127.a.b.0/24, with the same ports on every address.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    prefix: [u8; 2],
    first_port: u16,
}

impl Net {
    /// Finds a network in which this many machines can listen.
    pub fn find(machines: u8) -> Result<Net, ScenarioError> {
        let mut rng = rand::thread_rng();
        for _ in 0..MAX_ATTEMPTS {
            let net = Net {
                prefix: [rng.gen_range(16..250), rng.gen_range(1..250)],
                first_port: rng.gen_range(PORT_RANGE.start..PORT_RANGE.end - PORTS_PER_MACHINE),
            };
            if (0..machines).all(|n| net.is_free(n)) {
                return Ok(net);
            }
        }
        Err(format!("found no free addresses and ports in {MAX_ATTEMPTS} attempts").into())
    }

    fn is_free(&self, machine: u8) -> bool {
        let ip = self.ip(machine);
        (0..PORTS_PER_MACHINE).all(|port_offset| {
            let address = SocketAddrV4::new(ip, self.first_port + port_offset);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        })
    }

    /// Returns the address of a machine; number 0 is the platform.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], machine.saturating_add(1))
    }

    /// Returns the address at which the simulated platform listens.
    pub fn platform(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(0), self.first_port)
    }

    /// Returns the address at which a machine accepts clients' requests.
    pub fn front(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port)
    }

    /// Returns the address at which a machine reports its readiness.
    pub fn readiness(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 1)
    }

    /// Returns the address at which a machine accepts commands.
    pub fn control(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 2)
    }

    /// Returns the address at which a machine serves the directory.
    pub fn directory(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 3)
    }

    /// Returns the first and last port for traffic between nodes.
    pub fn internal_ports(&self) -> [u16; 2] {
        [self.first_port + 4, self.first_port + PORTS_PER_MACHINE - 1]
    }
}
