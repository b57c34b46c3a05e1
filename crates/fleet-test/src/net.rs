//! Addresses and ports of a fleet, free at the time of asking.

use crate::ScenarioError;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

/// Ports below those that the kernel gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// Ports that a machine uses: four interfaces and those between nodes.
const PORTS_USED: u16 = 8;
/// Nets tried before giving up, nets.
const TRIES: usize = 50;

/// One net of loopback addresses, 127.a.b.0/24, and the ports alike on all.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    prefix: [u8; 2],
    first_port: u16,
}

impl Net {
    /// A net in which this many machines can listen.
    pub fn find(machines: u8) -> Result<Net, ScenarioError> {
        let mut rng = rand::thread_rng();
        for _ in 0..TRIES {
            let net = Net {
                prefix: [rng.gen_range(16..250), rng.gen_range(1..250)],
                first_port: rng.gen_range(PORTS.start..PORTS.end - PORTS_USED),
            };
            if (0..machines).all(|n| net.is_free(n)) {
                return Ok(net);
            }
        }
        Err(format!("no free addresses and ports in {TRIES} tries").into())
    }

    fn is_free(&self, machine: u8) -> bool {
        let ip = self.ip(machine);
        (0..PORTS_USED).all(|p| {
            let at = SocketAddrV4::new(ip, self.first_port + p);
            TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
        })
    }

    /// The address of a machine; 0 is the platform's.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], machine.saturating_add(1))
    }

    /// Where the simulated platform listens.
    pub fn platform(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(0), self.first_port)
    }

    /// Where a machine takes clients' requests.
    pub fn front(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port)
    }

    /// Where a machine says whether it is ready.
    pub fn readiness(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 1)
    }

    /// Where a machine takes commands.
    pub fn control(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 2)
    }

    /// Where a machine serves the directory.
    pub fn directory(&self, machine: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), self.first_port + 3)
    }

    /// First and last of the ports for what nodes say to each other.
    pub fn internal_ports(&self) -> [u16; 2] {
        [self.first_port + 4, self.first_port + PORTS_USED - 1]
    }
}
