//! Runs the membership protocol over UDP and publishes the member table.

use crate::kernel::{Component, NodeContext, StartError};
use actix::prelude::*;
use config::{constants as c, timing, Settings};
use gossip::{Envelope, Member, MembershipProtocol};
use prost::Message as _;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;

inventory::submit! { Component { name: "gossip", order: 30, start } }

/// Maximum size of a received datagram, in bytes.
const DATAGRAM_BYTES: usize = 16 * 1024;
/// Pause after a failed read, in milliseconds.
const READ_RETRY_MS: u64 = 10;

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let settings = context.settings.get();
    let address = settings.internal_address();
    let socket = std::net::UdpSocket::bind(address)
        .and_then(|s| s.set_nonblocking(true).map(|()| s))
        .and_then(UdpSocket::from_std)
        .map_err(|source| StartError::ListenUdp { address, source })?;
    let socket = Rc::new(socket);
    let seeds = settings.seed_addresses().into_iter().map(|s| s.to_string());
    let protocol = MembershipProtocol::new(
        own_member(&settings),
        seeds.collect(),
        timing::GOSSIP,
        context.now(),
        rand::thread_rng().gen(),
    );
    let driver = GossipDriver {
        context: context.clone(),
        protocol,
        socket: socket.clone(),
        published_at: 0,
    }
    .start();
    context.register_component(driver.clone());
    actix_rt::spawn(read_datagrams(socket, driver));
    Ok(())
}

fn own_member(settings: &Settings) -> Member {
    let entity = &settings.own_entity;
    let client_address = settings.network.listen_points.front;
    // The wall-clock time gives a later run of the process a higher incarnation than an earlier
    // one; it need not be accurate.
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |d| d.as_millis() as u64);
    Member {
        address: settings.internal_address().to_string(),
        incarnation,
        name: entity.node_name.clone(),
        zone: entity.zone.clone(),
        region: entity.region.clone(),
        client_address: client_address.map(|a| a.to_string()).unwrap_or_default(),
        has_disk: entity.data_directory.is_some(),
        cpu_fraction: entity.limits.cpu_fraction,
        ..Default::default()
    }
}

async fn read_datagrams(socket: Rc<UdpSocket>, driver: Addr<GossipDriver>) {
    let mut buffer = vec![0u8; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            actix_rt::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            continue;
        };
        if let Ok(message) = gossip::Message::decode(&buffer[..length]) {
            driver.do_send(Received { from, message });
        }
    }
}

#[derive(Message)]
#[rtype(result = "()")]
struct Received {
    from: SocketAddr,
    message: gossip::Message,
}

/// Updates the fields of its own member entry that this node gossips.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub struct UpdateOwnMember {
    /// Identity of this node.
    pub id: u64,
    /// Cluster that this node belongs to; 0 for none.
    pub cluster: u64,
    /// Whether this node accepts client requests.
    pub is_ready: bool,
    /// Node that this node has chosen to bootstrap a new cluster; 0 for none.
    pub appointed: u64,
    /// Whether the disk of this node was empty at the first start of the whole system.
    pub is_new_system: bool,
}

/// Actor that owns the membership protocol and its socket.
pub struct GossipDriver {
    context: Rc<NodeContext>,
    protocol: MembershipProtocol,
    socket: Rc<UdpSocket>,
    /// Time at which the member table was last published, in milliseconds.
    published_at: u64,
}

impl GossipDriver {
    fn run_and_reschedule(&mut self, ctx: &mut Context<Self>) {
        let now = self.context.now();
        self.protocol.tick(now);
        self.send_and_publish();
        let mut wait = self.protocol.next_tick_at().saturating_sub(now);
        if self.protocol.has_changed() {
            wait = wait.min(c::MEMBER_TABLE_INTERVAL_MS);
        }
        let wait = Duration::from_millis(wait.max(c::PROBE_TIMEOUT_MS / 10));
        ctx.run_later(wait, Self::run_and_reschedule);
    }

    fn send_and_publish(&mut self) {
        for Envelope { to, message } in self.protocol.take_outgoing() {
            if let Ok(to) = to.parse::<SocketAddr>() {
                // A datagram that cannot be sent is treated as lost.
                let _ = self.socket.try_send_to(&message.encode_to_vec(), to);
            }
        }
        self.publish_members();
    }

    /// Publishes the member table if it has changed. Updates come in bursts when all nodes start
    /// together, and rebuilding a large table for each would take a small node a second, so a large
    /// table is rebuilt at most once per `MEMBER_TABLE_INTERVAL_MS`.
    fn publish_members(&mut self) {
        let now = self.context.now();
        let is_due = now >= self.published_at + c::MEMBER_TABLE_INTERVAL_MS
            || self.context.members.get().len() < c::MEMBER_TABLE_IMMEDIATE_MEMBERS;
        if is_due && self.protocol.take_changed() {
            self.published_at = now;
            let all = std::iter::once(self.protocol.own_member()).chain(self.protocol.members());
            let members: Vec<Member> = all.cloned().collect();
            self.context.members.set(members);
        }
    }

    /// Publishes the mean round-trip time to each site.
    fn publish_round_trips(&self) {
        let settings = self.context.settings.get();
        let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for member in self.protocol.alive_members() {
            if let Some(round_trip) = self.protocol.round_trip(&member.address) {
                let site = settings.site(&member.zone, &member.region).to_string();
                let (sum, count) = sums.entry(site).or_default();
                *sum += round_trip;
                *count += 1.0;
            }
        }
        let means = sums.into_iter().map(|(site, (sum, count))| (site, sum / count));
        let means: BTreeMap<String, f64> = means.collect();
        self.context.round_trip_times_ms.set(means);
    }
}

impl Actor for GossipDriver {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        self.run_and_reschedule(ctx);
        let interval = Duration::from_millis(c::REPORT_INTERVAL_MS);
        ctx.run_interval(interval, |driver, _| driver.publish_round_trips());
    }
}

impl Handler<Received> for GossipDriver {
    type Result = ();
    fn handle(&mut self, received: Received, _: &mut Self::Context) {
        let before = self.protocol.unmatched_acks();
        let from = received.from.to_string();
        self.protocol.receive(self.context.now(), &from, received.message);
        if self.protocol.unmatched_acks() != before {
            self.context.counters.increment("unmatched_acks");
        }
        self.send_and_publish();
    }
}

impl Handler<UpdateOwnMember> for GossipDriver {
    type Result = ();
    fn handle(&mut self, update: UpdateOwnMember, _: &mut Self::Context) {
        self.protocol.update_own(|own| {
            own.id = update.id;
            own.cluster = update.cluster;
            own.is_ready = update.is_ready;
            own.appointed = update.appointed;
            own.is_new_system = update.is_new_system;
        });
        self.send_and_publish();
    }
}
