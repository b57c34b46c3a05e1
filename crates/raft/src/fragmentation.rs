//! Fragmentation of large messages. Each peer is sent one fragment at a time, so that
//! heartbeats still get through on a narrow link in between, nothing is resent while it is in
//! transit, and the message size is limited only by a node's memory.
//!
//! This is a stop-and-wait protocol: the next fragment is sent when the previous one has been
//! acknowledged. The fragment size adapts to the measured round-trip time, so that a link is
//! never saturated for long. While a message is in transit, another large message to the same
//! peer is dropped: Raft tolerates lost messages and resends what is still needed.

use crate::message::{Message, MessageType};
use prost::Message as _;
use std::collections::BTreeMap;

/// Maximum size of a message that is sent unfragmented, in bytes: sent to eight peers at the
/// same time it takes a quarter of a second on a 2 Mbit/s link.
const MAX_UNFRAGMENTED_BYTES: usize = 8 * 1024;
/// Maximum size of the first fragment of a message, in bytes. It is limited because the link
/// may have become narrower since the last message, and because messages to other peers share
/// this node's link.
const MAX_FIRST_FRAGMENT_BYTES: usize = 32 * 1024;
/// Minimum size of every fragment except the last of a message, in bytes.
const MIN_FRAGMENT_BYTES: usize = 4 * 1024;
/// Maximum size of a fragment, in bytes.
const MAX_FRAGMENT_BYTES: usize = 512 * 1024;
/// Round-trip time below which the fragment size is quadrupled, in milliseconds.
const QUADRUPLE_BELOW_MS: u64 = 100;
/// Round-trip time below which the fragment size is doubled, in milliseconds.
const DOUBLE_BELOW_MS: u64 = 160;
/// Round-trip time above which the fragment size is halved, in milliseconds: a heartbeat
/// queued behind a fragment must still arrive within the shortest election timeout, 450 ms.
const HALVE_ABOVE_MS: u64 = 240;
/// Maximum size of a message, in bytes: the largest decompressed snapshot plus headroom.
const MAX_MESSAGE_BYTES: u64 = 80 * 1024 * 1024;
/// Maximum number of messages that are reassembled at the same time: from a leader, an
/// upstream, and their predecessors.
const MAX_INCOMING_MESSAGES: usize = 4;
/// Maximum number of peers whose fragment sizes are remembered.
const MAX_REMEMBERED_SIZES: usize = 1024;

/// A message that is being sent to a peer in fragments.
#[derive(Clone, Debug)]
struct OutgoingMessage {
    to: u64,
    number: u64,
    term: u64,
    bytes: Vec<u8>,
    acknowledged_bytes: usize,
    fragment_bytes: usize,
    sent_at: u64,
    last_heard: u64,
}

impl OutgoingMessage {
    /// Returns the first unacknowledged fragment and records it as sent at `now`.
    fn fragment(&mut self, now: u64) -> Message {
        self.sent_at = now;
        let end = (self.acknowledged_bytes + self.fragment_bytes).min(self.bytes.len());
        Message {
            message_type: MessageType::Fragment as i32,
            to: self.to,
            term: self.term,
            message_number: self.number,
            offset: self.acknowledged_bytes as u64,
            total_bytes: self.bytes.len() as u64,
            fragment: self.bytes[self.acknowledged_bytes..end].to_vec(),
            ..Default::default()
        }
    }

    fn shrink(&mut self) {
        self.fragment_bytes = (self.fragment_bytes / 2).max(MIN_FRAGMENT_BYTES);
    }

    /// Adapts the fragment size to the round-trip time of the last fragment.
    fn adapt_fragment_size(&mut self, round_trip_ms: u64) {
        if round_trip_ms < QUADRUPLE_BELOW_MS {
            self.fragment_bytes = (self.fragment_bytes * 4).min(MAX_FRAGMENT_BYTES);
        } else if round_trip_ms < DOUBLE_BELOW_MS {
            self.fragment_bytes = (self.fragment_bytes * 2).min(MAX_FRAGMENT_BYTES);
        } else if round_trip_ms > HALVE_ABOVE_MS {
            self.shrink();
        }
    }
}

/// A partially received message from a peer.
#[derive(Clone, Debug)]
struct IncomingMessage {
    number: u64,
    total_bytes: u64,
    bytes: Vec<u8>,
    received_bytes: u64,
    last_heard: u64,
}

/// Result of receiving a fragment.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// Acknowledgement to send to the fragment's sender.
    pub(crate) ack: Option<Message>,
    /// The message that this fragment completes, if it is the last one.
    pub(crate) complete: Option<Message>,
}

/// Splits outgoing messages into fragments and reassembles incoming ones.
#[derive(Clone, Debug)]
pub(crate) struct Fragmenter {
    next_number: u64,
    resend_ms: u64,
    peer_timeout_ms: u64,
    outgoing: BTreeMap<u64, OutgoingMessage>,
    incoming: BTreeMap<u64, IncomingMessage>,
    /// Last fragment size used for each peer, in bytes.
    fragment_sizes: BTreeMap<u64, usize>,
}

impl Fragmenter {
    /// Creates a fragmenter. `first_number` is random, so that a restarted process of this
    /// node does not reuse the message numbers of an earlier one. An unacknowledged fragment
    /// is sent again after `resend_ms`; a peer that acknowledges nothing for `peer_timeout_ms`
    /// is given up.
    pub(crate) fn new(first_number: u64, resend_ms: u64, peer_timeout_ms: u64) -> Fragmenter {
        Fragmenter {
            next_number: first_number,
            resend_ms,
            peer_timeout_ms,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            fragment_sizes: BTreeMap::new(),
        }
    }

    /// Returns what to send in place of `message`: the message itself, its first fragment, or
    /// nothing while another large message to the same peer is in transit. An AppendEntries
    /// message is never dropped: without its entries it is still sent as a heartbeat.
    pub(crate) fn send(&mut self, now: u64, message: Message) -> Option<Message> {
        let is_fragment = message.message_type == MessageType::Fragment as i32;
        if is_fragment || message.encoded_len() <= MAX_UNFRAGMENTED_BYTES {
            return Some(message);
        }
        if self.has_message_in_flight(now, &message) {
            let is_append = message.message_type == MessageType::AppendEntries as i32;
            let entries = Vec::new();
            return is_append.then_some(Message { entries, ..message });
        }
        self.next_number = self.next_number.wrapping_add(1);
        let to = message.to;
        let mut outgoing = OutgoingMessage {
            to,
            number: self.next_number,
            term: message.term,
            bytes: message.encode_to_vec(),
            acknowledged_bytes: 0,
            fragment_bytes: self.first_fragment_bytes(to),
            sent_at: now,
            last_heard: now,
        };
        let first = outgoing.fragment(now);
        self.outgoing.insert(to, outgoing);
        Some(first)
    }

    /// Returns whether another large message of the same term is in transit to the same peer.
    fn has_message_in_flight(&self, now: u64, message: &Message) -> bool {
        let is_in_flight = |o: &OutgoingMessage| {
            o.term == message.term && now.saturating_sub(o.last_heard) < self.peer_timeout_ms
        };
        self.outgoing.get(&message.to).is_some_and(is_in_flight)
    }

    fn first_fragment_bytes(&self, to: u64) -> usize {
        let other_peers = self.outgoing.keys().filter(|peer| **peer != to).count();
        let limit = (MAX_FIRST_FRAGMENT_BYTES / (other_peers + 1)).max(MIN_FRAGMENT_BYTES);
        self.fragment_sizes
            .get(&to)
            .map_or(limit, |size| limit.min(*size))
    }

    /// Handles the acknowledgement of a fragment and returns the next fragment, if there is
    /// one.
    pub(crate) fn on_ack(&mut self, now: u64, from: u64, ack: &Message) -> Option<Message> {
        let outgoing = self.outgoing.get_mut(&from)?;
        if outgoing.number != ack.message_number {
            return None;
        }
        let offset = ack.offset as usize;
        outgoing.last_heard = now;
        let repeated = offset == outgoing.acknowledged_bytes && offset > 0;
        if repeated || offset > outgoing.bytes.len() {
            return None;
        }
        outgoing.adapt_fragment_size(now.saturating_sub(outgoing.sent_at));
        outgoing.acknowledged_bytes = offset;
        if self.fragment_sizes.len() >= MAX_REMEMBERED_SIZES {
            self.fragment_sizes.clear();
        }
        self.fragment_sizes.insert(from, outgoing.fragment_bytes);
        if offset == outgoing.bytes.len() {
            self.outgoing.remove(&from);
            return None;
        }
        Some(outgoing.fragment(now))
    }

    /// Returns the unacknowledged fragments that are due to be sent again, and drops the
    /// transfers of peers that no longer respond.
    pub(crate) fn tick(&mut self, now: u64) -> Vec<Message> {
        let is_recent = |last_heard: u64| now.saturating_sub(last_heard) < self.peer_timeout_ms;
        self.outgoing.retain(|_, o| is_recent(o.last_heard));
        self.incoming.retain(|_, i| is_recent(i.last_heard));
        let mut resent = Vec::new();
        for (to, outgoing) in &mut self.outgoing {
            if now.saturating_sub(outgoing.sent_at) >= self.resend_ms {
                outgoing.shrink();
                self.fragment_sizes.insert(*to, outgoing.fragment_bytes);
                resent.push(outgoing.fragment(now));
            }
        }
        resent
    }

    /// Returns the time at which [`Fragmenter::tick`] next has a fragment to resend, in
    /// milliseconds.
    pub(crate) fn next_tick_at(&self) -> Option<u64> {
        self.outgoing.values().map(|o| o.sent_at + self.resend_ms).min()
    }

    /// Handles a received fragment.
    pub(crate) fn receive(&mut self, now: u64, from: u64, fragment: Message) -> Received {
        if fragment.total_bytes > MAX_MESSAGE_BYTES {
            return Received::default();
        }
        let number = fragment.message_number;
        let is_known = self.incoming.get(&from).is_some_and(|i| i.number == number);
        if !is_known && fragment.offset == 0 {
            self.begin_incoming(now, from, &fragment);
        }
        let mut ack = Message {
            message_type: MessageType::FragmentAck as i32,
            term: fragment.term,
            message_number: number,
            ..Default::default()
        };
        let Some(incoming) = self.incoming.get_mut(&from).filter(|i| i.number == number) else {
            // A later fragment of a message whose first fragment this process has not
            // received.
            return Received {
                ack: Some(ack),
                complete: None,
            };
        };
        incoming.last_heard = now;
        let length = fragment.fragment.len() as u64;
        let fits = incoming.received_bytes + length <= incoming.total_bytes;
        let is_next = fragment.offset == incoming.received_bytes && length > 0 && fits;
        if is_next {
            incoming.bytes.extend_from_slice(&fragment.fragment);
            incoming.received_bytes += length;
        }
        ack.offset = incoming.received_bytes;
        let is_complete = is_next && incoming.received_bytes == incoming.total_bytes;
        let bytes = is_complete.then(|| std::mem::take(&mut incoming.bytes));
        Received {
            ack: Some(ack),
            complete: bytes.and_then(|bytes| Message::decode(bytes.as_slice()).ok()),
        }
    }

    /// Starts reassembling a message whose first fragment has arrived, evicting the least
    /// recently active one if there are too many.
    fn begin_incoming(&mut self, now: u64, from: u64, fragment: &Message) {
        if self.incoming.len() >= MAX_INCOMING_MESSAGES {
            let oldest = self.incoming.iter().min_by_key(|(_, i)| i.last_heard);
            if let Some(peer) = oldest.map(|(peer, _)| *peer) {
                self.incoming.remove(&peer);
            }
        }
        let incoming = IncomingMessage {
            number: fragment.message_number,
            total_bytes: fragment.total_bytes,
            bytes: Vec::new(),
            received_bytes: 0,
            last_heard: now,
        };
        self.incoming.insert(from, incoming);
    }
}
