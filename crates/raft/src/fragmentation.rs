//! Large messages travel in fragments, one at a time for each peer, so that a narrow link
//! still carries heartbeats in between, that nothing is sent again which is still on its way,
//! and that no message is too large but for a node's memory.
//!
//! Stop and wait: the next fragment is sent when the one before is acknowledged. Its size
//! follows the time that this takes, so a link is never filled for long. While a message is
//! on its way, another large one to the same peer is dropped: Raft bears lost messages, and
//! offers again what is still wanted.

use crate::message::{Message, MessageType};
use prost::Message as _;
use std::collections::BTreeMap;

/// Messages up to this size are sent as they are, bytes: to eight peers at the same time that
/// is a quarter of a second on 2 Mbit/s.
const UNFRAGMENTED_BYTES: usize = 8 * 1024;
/// Largest first fragment of a message, bytes: a link may have become narrow since the last
/// one, and messages to other peers share this node's.
const FIRST_FRAGMENT_BYTES: usize = 32 * 1024;
/// Smallest fragment but for the last of a message, bytes.
const LEAST_FRAGMENT_BYTES: usize = 4 * 1024;
/// Largest fragment, bytes.
const MOST_FRAGMENT_BYTES: usize = 512 * 1024;
/// Acknowledged sooner, fragments grow fourfold, ms.
const GROW_FOURFOLD_MS: u64 = 100;
/// Acknowledged sooner, they grow twofold, ms.
const GROW_TWOFOLD_MS: u64 = 160;
/// Acknowledged later, they shrink by half, ms: a heartbeat that waits behind one is in time
/// for the shortest election timeout, 450 ms.
const SHRINK_MS: u64 = 240;
/// Largest message, bytes: the largest snapshot unpacked, and room.
const MESSAGE_BYTES: u64 = 80 * 1024 * 1024;
/// Messages put together at the same time: from a leader, an upstream, and those before them.
const INCOMING_MESSAGES: usize = 4;
/// Peers whose fragment sizes are remembered.
const REMEMBERED_SIZES: usize = 1024;

/// A message on its way to a peer.
#[derive(Clone, Debug)]
struct OutgoingMessage {
    to: u64,
    number: u64,
    term: u64,
    bytes: Vec<u8>,
    acknowledged: usize,
    fragment_bytes: usize,
    sent_at: u64,
    last_heard: u64,
}

impl OutgoingMessage {
    /// The first fragment that is not acknowledged.
    fn fragment(&mut self, now: u64) -> Message {
        self.sent_at = now;
        let end = (self.acknowledged + self.fragment_bytes).min(self.bytes.len());
        Message {
            message_type: MessageType::Fragment as i32,
            to: self.to,
            term: self.term,
            message_number: self.number,
            offset: self.acknowledged as u64,
            total_bytes: self.bytes.len() as u64,
            fragment: self.bytes[self.acknowledged..end].to_vec(),
            ..Default::default()
        }
    }

    fn shrink(&mut self) {
        self.fragment_bytes = (self.fragment_bytes / 2).max(LEAST_FRAGMENT_BYTES);
    }

    /// Adapts the size of fragments to the time that the last one took.
    fn adapt(&mut self, took_ms: u64) {
        if took_ms < GROW_FOURFOLD_MS {
            self.fragment_bytes = (self.fragment_bytes * 4).min(MOST_FRAGMENT_BYTES);
        } else if took_ms < GROW_TWOFOLD_MS {
            self.fragment_bytes = (self.fragment_bytes * 2).min(MOST_FRAGMENT_BYTES);
        } else if took_ms > SHRINK_MS {
            self.shrink();
        }
    }
}

/// What has arrived of a message from a peer.
#[derive(Clone, Debug)]
struct IncomingMessage {
    number: u64,
    total_bytes: u64,
    bytes: Vec<u8>,
    received: u64,
    last_heard: u64,
}

/// What came of a fragment.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// What to answer its sender.
    pub(crate) ack: Option<Message>,
    /// The message that it completes.
    pub(crate) complete: Option<Message>,
}

/// Takes messages apart and puts them together again.
#[derive(Clone, Debug)]
pub(crate) struct Fragmenter {
    next_number: u64,
    resend_ms: u64,
    peer_timeout_ms: u64,
    outgoing: BTreeMap<u64, OutgoingMessage>,
    incoming: BTreeMap<u64, IncomingMessage>,
    /// The size of fragments that each peer took last, bytes.
    sizes: BTreeMap<u64, usize>,
}

impl Fragmenter {
    /// Numbers of messages begin anywhere, so that no process of this node uses those of an
    /// earlier one. A fragment without an answer is sent again after `resend_ms`; a peer that
    /// acknowledges nothing for `peer_timeout_ms` is given up.
    pub(crate) fn new(first_number: u64, resend_ms: u64, peer_timeout_ms: u64) -> Fragmenter {
        Fragmenter {
            next_number: first_number,
            resend_ms,
            peer_timeout_ms,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            sizes: BTreeMap::new(),
        }
    }

    /// What to send in place of a message: itself, its first fragment, or nothing while
    /// another one is on its way. What an AppendEntries says beside its entries is always
    /// sent.
    pub(crate) fn send(&mut self, now: u64, message: Message) -> Option<Message> {
        let is_fragment = message.message_type == MessageType::Fragment as i32;
        if is_fragment || message.encoded_len() <= UNFRAGMENTED_BYTES {
            return Some(message);
        }
        if self.is_busy(now, &message) {
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
            acknowledged: 0,
            fragment_bytes: self.first_fragment_bytes(to),
            sent_at: now,
            last_heard: now,
        };
        let first = outgoing.fragment(now);
        self.outgoing.insert(to, outgoing);
        Some(first)
    }

    /// Whether another large message of the same term is on its way to the same peer.
    fn is_busy(&self, now: u64, message: &Message) -> bool {
        let busy = |o: &OutgoingMessage| {
            o.term == message.term && now.saturating_sub(o.last_heard) < self.peer_timeout_ms
        };
        self.outgoing.get(&message.to).is_some_and(busy)
    }

    fn first_fragment_bytes(&self, to: u64) -> usize {
        let others = self.outgoing.keys().filter(|peer| **peer != to).count();
        let most = (FIRST_FRAGMENT_BYTES / (others + 1)).max(LEAST_FRAGMENT_BYTES);
        self.sizes.get(&to).map_or(most, |size| most.min(*size))
    }

    /// A fragment has arrived at a peer: the next one, if there is one.
    pub(crate) fn on_ack(&mut self, now: u64, from: u64, ack: &Message) -> Option<Message> {
        let outgoing = self.outgoing.get_mut(&from)?;
        if outgoing.number != ack.message_number {
            return None;
        }
        let offset = ack.offset as usize;
        outgoing.last_heard = now;
        let repeated = offset == outgoing.acknowledged && offset > 0;
        if repeated || offset > outgoing.bytes.len() {
            return None;
        }
        outgoing.adapt(now.saturating_sub(outgoing.sent_at));
        outgoing.acknowledged = offset;
        if self.sizes.len() >= REMEMBERED_SIZES {
            self.sizes.clear();
        }
        self.sizes.insert(from, outgoing.fragment_bytes);
        if offset == outgoing.bytes.len() {
            self.outgoing.remove(&from);
            return None;
        }
        Some(outgoing.fragment(now))
    }

    /// Sends again what has had no answer, and gives up peers that are gone.
    pub(crate) fn tick(&mut self, now: u64) -> Vec<Message> {
        let is_there = |last_heard: u64| now.saturating_sub(last_heard) < self.peer_timeout_ms;
        self.outgoing.retain(|_, o| is_there(o.last_heard));
        self.incoming.retain(|_, i| is_there(i.last_heard));
        let mut resent = Vec::new();
        for (to, outgoing) in &mut self.outgoing {
            if now.saturating_sub(outgoing.sent_at) >= self.resend_ms {
                outgoing.shrink();
                self.sizes.insert(*to, outgoing.fragment_bytes);
                resent.push(outgoing.fragment(now));
            }
        }
        resent
    }

    /// When [`Fragmenter::tick`] has something to send again, ms.
    pub(crate) fn next_tick_at(&self) -> Option<u64> {
        self.outgoing.values().map(|o| o.sent_at + self.resend_ms).min()
    }

    /// Takes a fragment in.
    pub(crate) fn receive(&mut self, now: u64, from: u64, fragment: Message) -> Received {
        if fragment.total_bytes > MESSAGE_BYTES {
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
            // The middle of a message whose beginning this process has not seen.
            return Received {
                ack: Some(ack),
                complete: None,
            };
        };
        incoming.last_heard = now;
        let length = fragment.fragment.len() as u64;
        let fits = incoming.received + length <= incoming.total_bytes;
        let is_next = fragment.offset == incoming.received && length > 0 && fits;
        if is_next {
            incoming.bytes.extend_from_slice(&fragment.fragment);
            incoming.received += length;
        }
        ack.offset = incoming.received;
        let is_complete = is_next && incoming.received == incoming.total_bytes;
        let bytes = is_complete.then(|| std::mem::take(&mut incoming.bytes));
        Received {
            ack: Some(ack),
            complete: bytes.and_then(|bytes| Message::decode(bytes.as_slice()).ok()),
        }
    }

    /// Makes room for a message whose first fragment has come.
    fn begin_incoming(&mut self, now: u64, from: u64, fragment: &Message) {
        if self.incoming.len() >= INCOMING_MESSAGES {
            let oldest = self.incoming.iter().min_by_key(|(_, i)| i.last_heard);
            if let Some(peer) = oldest.map(|(peer, _)| *peer) {
                self.incoming.remove(&peer);
            }
        }
        let incoming = IncomingMessage {
            number: fragment.message_number,
            total_bytes: fragment.total_bytes,
            bytes: Vec::new(),
            received: 0,
            last_heard: now,
        };
        self.incoming.insert(from, incoming);
    }
}
