//! Messages to and from other nodes.

use super::driver::RaftDriver;
use super::error::CommandError;
use super::execution::execute;
use crate::peer_transport::{PeerTransport, SendToPeer};
use actix::prelude::*;
use config::constants as c;
use prost::Message as _;
use protocol::{
    CallId, CommandRequest, CommandResponse, Incarnation, Payload, PeerMessage, RangeDigests, Repair,
};
use std::collections::HashMap;

/// Maximum number of reply addresses that are remembered.
const MAX_REPLY_ADDRESSES: usize = 256;

/// Reply addresses, by node ID, of nodes that gossip and the membership may not show yet.
#[derive(Default)]
pub(super) struct ReplyAddresses(HashMap<u64, String>);

impl ReplyAddresses {
    fn add(&mut self, id: u64, address: String) {
        if address.is_empty() {
            return;
        }
        if self.0.len() >= MAX_REPLY_ADDRESSES {
            self.0.clear();
        }
        self.0.insert(id, address);
    }
}

/// A message from another node, passed on by the transport.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct PeerMessageReceived(pub(super) PeerMessage);

impl RaftDriver {
    pub(super) fn send_to_peer(&self, address: String, payload: Payload) {
        if let Some(transport) = self.context.component::<Addr<PeerTransport>>() {
            transport.do_send(SendToPeer { address, payload });
        }
    }

    pub(super) fn send_raft(&self, messages: Vec<raft::Message>) {
        for message in messages {
            if let Some(address) = self.address_of(message.to) {
                self.send_to_peer(address, Payload::Raft(message.encode_to_vec()));
            }
        }
    }

    /// Opens connections to the other voters by sending each a hello message.
    pub(super) fn connect_to_voters(&self) {
        let own_id = self.raft.id();
        let voters = self.raft.membership().voters.iter();
        for voter in voters.filter(|v| v.id != own_id) {
            self.send_to_peer(voter.address.clone(), Payload::Hello(true));
        }
    }

    /// Returns the internal address of a node.
    pub(super) fn address_of(&self, id: u64) -> Option<String> {
        let members = self.context.members.get();
        let member = members.iter().find(|m| m.id == id).map(|m| m.address.clone());
        let voter = || {
            let mut voters = self.raft.membership().voters.iter();
            voters.find(|v| v.id == id).map(|v| v.address.clone())
        };
        member
            .or_else(voter)
            .or_else(|| self.reply_addresses.0.get(&id).cloned())
    }

    fn receive_raft(&mut self, from: u64, cluster: u64, reply_to: String, bytes: &[u8]) {
        let Ok(message) = raft::Message::decode(bytes) else {
            self.context.counters.increment("malformed_frames");
            return;
        };
        self.join_cluster(cluster);
        self.reply_addresses.add(from, reply_to);
        let before = self.raft.unreadable_snapshots();
        self.raft.step(self.context.now(), from, message);
        if self.raft.unreadable_snapshots() > before {
            self.context.counters.increment("unreadable_snapshots");
            log::error!("event=snapshot_unreadable from={from:x}");
        }
        self.flush();
    }

    /// Executes a command that another node has forwarded to this node as the leader.
    fn receive_request(&self, request: CommandRequest, reply_to: String, driver: Addr<RaftDriver>) {
        let CommandRequest {
            number,
            incarnation,
            command,
            tag,
        } = request;
        let Some(command) = command else { return };
        let is_leading = self.raft.is_leader() && self.silent_ms() < c::ELECTION_TIMEOUT_MS;
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let response = if is_leading {
                execute(driver, command, tag).await
            } else {
                CommandError::NotLeader.response()
            };
            if let Some(transport) = context.component::<Addr<PeerTransport>>() {
                let payload = Payload::Response(CommandResponse {
                    number,
                    incarnation,
                    ..response
                });
                transport.do_send(SendToPeer {
                    address: reply_to,
                    payload,
                });
            }
        });
    }

    fn receive_response(&mut self, from: u64, response: CommandResponse) {
        let call = CallId {
            incarnation: Incarnation(response.incarnation),
            number: response.number,
        };
        match self.calls.finish(&from, call, self.context.now()) {
            Some(caller) => {
                let _ = caller.send(response);
            }
            None => self.context.counters.increment("unmatched_answers"),
        }
    }

    /// Answers a peer that asks for the parts that its copy of the state lacks.
    fn receive_digests(&self, reply_to: String, peer_digests: &RangeDigests) {
        if !self.context.status.get().is_current {
            return;
        }
        if let Some(repair) = anti_entropy::repair_for(&self.state, peer_digests) {
            self.send_to_peer(reply_to, Payload::Repair(Box::new(repair)));
        }
    }

    /// Merges a peer's answer to a repair request into this node's copy of the state.
    fn receive_repair(&mut self, from: u64, repair: &Repair) {
        let call = CallId {
            incarnation: Incarnation(repair.incarnation),
            number: repair.number,
        };
        let Some(own_digests) = self.repairs.finish(&from, call, self.context.now()) else {
            self.context.counters.increment("unmatched_answers");
            return;
        };
        if self.context.status.get().is_current && !self.is_repaired {
            return;
        }
        if let Some(state) = anti_entropy::apply_repair_if_unchanged(&self.state, &own_digests, repair) {
            log::info!(
                "event=repaired index={} ranges={}",
                repair.index,
                repair.ranges.len()
            );
            self.context.counters.increment("repaired_from_peers");
            self.replace_state(state, "repair");
            self.is_repaired = true;
            self.publish();
        }
    }
}

impl Handler<PeerMessageReceived> for RaftDriver {
    type Result = ();
    fn handle(&mut self, PeerMessageReceived(message): PeerMessageReceived, actor: &mut Self::Context) {
        let PeerMessage {
            from,
            cluster,
            payload,
            reply_to,
        } = message;
        match payload {
            Some(Payload::Raft(bytes)) => self.receive_raft(from, cluster, reply_to, &bytes),
            Some(Payload::Request(request)) => self.receive_request(*request, reply_to, actor.address()),
            Some(Payload::Response(response)) => self.receive_response(from, response),
            Some(Payload::Digests(peer_digests)) => self.receive_digests(reply_to, &peer_digests),
            Some(Payload::Repair(repair)) => self.receive_repair(from, &repair),
            Some(Payload::Report(_) | Payload::Hello(_)) | None => {}
        }
    }
}
