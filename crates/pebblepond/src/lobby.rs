//! Who is there: drives the membership over UDP and publishes what it says.

use crate::kernel::{House, Plugin};
use actix::prelude::*;
use config::constants as c;
use gossip::{Board, Member, Notice, Timing};
use prost::Message as _;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;

inventory::submit! { Plugin { name: "lobby", order: 30, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    let settings = house.settings.get();
    let address = settings.internal_address();
    let socket = std::net::UdpSocket::bind(address)
        .and_then(|s| s.set_nonblocking(true).map(|()| s))
        .and_then(UdpSocket::from_std)
        .map_err(|e| format!("cannot listen on udp {address}: {e}"))?;
    let socket = Rc::new(socket);
    let entity = &settings.own_entity;
    // The time of day makes a later life outrank an earlier one; it need not be exact.
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |d| d.as_millis() as u64);
    let me = Member {
        address: address.to_string(),
        incarnation,
        name: entity.node_name.clone(),
        zone: entity.zone.clone(),
        region: entity.region.clone(),
        front: settings
            .network
            .listen_points
            .front
            .map(|a| a.to_string())
            .unwrap_or_default(),
        disk: entity.data_directory.is_some(),
        cpu: entity.limits.cpu_fraction,
        ..Default::default()
    };
    let timing = Timing {
        probe_every: c::PROBE_INTERVAL_MS,
        probe_wait: c::PROBE_TIMEOUT_MS,
        probe_limit: c::SUSPECT_AFTER_MS,
        helpers: c::INDIRECT_PROBES,
        suspect: c::SUSPICION_TIMEOUT_MS,
        forget: c::DEAD_RETENTION_MS,
        gossip_times: c::GOSSIP_RETRANSMITS,
        gossip_members: c::GOSSIP_MESSAGE_MEMBERS,
        join_every: c::JOIN_INTERVAL_MS,
        rejoin_every: c::REJOIN_INTERVAL_MS,
        exchange_every: c::EXCHANGE_INTERVAL_MS,
    };
    let seeds = settings
        .seed_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    let board = Board::new(me, seeds, timing, house.now(), rand::thread_rng().gen());
    let lobby = Lobby {
        house: house.clone(),
        board,
        socket: socket.clone(),
        published: 0,
    }
    .start();
    house.put(lobby.clone());
    actix_rt::spawn(async move {
        let mut buf = vec![0u8; 16 * 1024];
        loop {
            match socket.recv_from(&mut buf).await {
                Ok((n, from)) => {
                    if let Ok(notice) = Notice::decode(&buf[..n]) {
                        lobby.do_send(Heard { from, notice });
                    }
                }
                Err(_) => actix_rt::time::sleep(Duration::from_millis(10)).await,
            }
        }
    });
    Ok(())
}

#[derive(Message)]
#[rtype(result = "()")]
struct Heard {
    from: SocketAddr,
    notice: Notice,
}

/// Changes what this node says of itself.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SayOfMe {
    pub id: u64,
    pub cluster: u64,
    pub ready: bool,
    pub appoints: u64,
    pub fresh: bool,
}

/// The owner of the membership.
pub struct Lobby {
    house: Rc<House>,
    board: Board,
    socket: Rc<UdpSocket>,
    /// When the table of members was last made.
    published: u64,
}

impl Lobby {
    fn schedule(&mut self, ctx: &mut Context<Self>) {
        let now = self.house.now();
        self.board.tick(now);
        self.flush();
        let mut wait = self.board.next_tick().saturating_sub(now);
        if self.board.has_changed() {
            wait = wait.min(c::MEMBER_TABLE_INTERVAL_MS);
        }
        let wait = Duration::from_millis(wait.max(c::PROBE_TIMEOUT_MS / 10));
        ctx.run_later(wait, Self::schedule);
    }

    fn flush(&mut self) {
        for (to, notice) in self.board.take_out() {
            if let Ok(to) = to.parse::<SocketAddr>() {
                // A datagram that cannot be sent counts as lost.
                let _ = self.socket.try_send_to(&notice.encode_to_vec(), to);
            }
        }
        // News comes in bursts when all start together; the table is made anew at
        // most once for each, or it would cost a small node a second.
        let now = self.house.now();
        let due = now >= self.published + c::MEMBER_TABLE_INTERVAL_MS
            || self.house.members.get().len() < c::MEMBER_TABLE_SMALL;
        if due && self.board.take_changed() {
            self.published = now;
            let members: Vec<Member> = std::iter::once(self.board.me())
                .chain(self.board.members())
                .cloned()
                .collect();
            self.house.members.set(members);
        }
    }

    fn publish_rtt(&self) {
        let settings = self.house.settings.get();
        let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for m in self.board.alive() {
            if let Some(rtt) = self.board.rtt(&m.address) {
                let site = settings.site(&m.zone, &m.region).to_string();
                let sum = sums.entry(site).or_default();
                sum.0 += rtt;
                sum.1 += 1.0;
            }
        }
        let rtt: BTreeMap<String, f64> = sums.into_iter().map(|(r, (s, n))| (r, s / n)).collect();
        self.house.rtt.set(rtt);
    }
}

impl Actor for Lobby {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        self.schedule(ctx);
        ctx.run_interval(Duration::from_millis(c::REPORT_INTERVAL_MS), |lobby, _| {
            lobby.publish_rtt()
        });
    }
}

impl Handler<Heard> for Lobby {
    type Result = ();
    fn handle(&mut self, msg: Heard, _: &mut Self::Context) {
        let before = self.board.unknown_acks();
        self.board
            .receive(self.house.now(), &msg.from.to_string(), msg.notice);
        if self.board.unknown_acks() != before {
            self.house.counters.add("unknown_acks");
        }
        self.flush();
    }
}

impl Handler<SayOfMe> for Lobby {
    type Result = ();
    fn handle(&mut self, say: SayOfMe, _: &mut Self::Context) {
        self.board.update_me(|me| {
            me.id = say.id;
            me.cluster = say.cluster;
            me.ready = say.ready;
            me.appoints = say.appoints;
            me.fresh = say.fresh;
        });
        self.flush();
    }
}
