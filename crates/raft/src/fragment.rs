//! Large messages go in fragments, one at a time for each peer, so that a narrow
//! link still carries heartbeats in between, that nothing is sent again which is
//! still on its way, and that a message has no largest size but this node's memory.
//!
//! Stop and wait: the next fragment goes when the one before is acknowledged. Its
//! size follows the time that takes, so a link is never filled for long. While a
//! message is on its way another large one to the same peer is dropped: the
//! agreement bears lost messages, and offers what is still wanted again.

use crate::message::{Message, MessageType};
use prost::Message as _;
use std::collections::BTreeMap;

/// Messages up to this size go whole, bytes: to eight peers at the same time that is
/// a quarter of a second on 2 Mbit/s.
const WHOLE_BYTES: usize = 8 * 1024;
/// Size of fragments, bytes: the first of a message at the most (a link may have become
/// narrow since the last, and others on their way share this node's), the least, the most.
const FIRST_BYTES: usize = 32 * 1024;
const LEAST_BYTES: usize = 4 * 1024;
const MOST_BYTES: usize = 512 * 1024;
/// Fragments acknowledged sooner grow, fourfold or twofold, and later shrink, ms: a
/// heartbeat that waits behind one is in time for the shortest election, 450 ms.
const SWIFT_MS: u64 = 100;
const FAST_MS: u64 = 160;
const SLOW_MS: u64 = 240;
/// Largest message, bytes: the largest snapshot unpacked, and room.
const MESSAGE_BYTES: u64 = 80 * 1024 * 1024;
/// Messages put together at the same time: from a leader, a node followed, and
/// those before them.
const PEERS: usize = 4;
/// Peers whose sizes are remembered.
const SIZES: usize = 1024;

/// A message on its way to a peer.
#[derive(Clone, Debug)]
struct Outgoing {
    number: u64,
    term: u64,
    bytes: Vec<u8>,
    acknowledged: usize,
    size: usize,
    sent_at: u64,
    heard_at: u64,
}

/// What has come of a message from a peer.
#[derive(Clone, Debug)]
struct Incoming {
    number: u64,
    total: u64,
    bytes: Vec<u8>,
    received: u64,
    heard_at: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Fragmenter {
    next_number: u64,
    /// An unacknowledged fragment is sent again after this time, ms.
    resend: u64,
    /// A peer that acknowledges nothing for this time is given up, ms.
    gone: u64,
    outgoing: BTreeMap<u64, Outgoing>,
    incoming: BTreeMap<u64, Incoming>,
    /// The size of fragments that each peer took last, bytes.
    sizes: BTreeMap<u64, usize>,
}

impl Outgoing {
    fn fragment(&mut self, now: u64) -> Message {
        self.sent_at = now;
        let end = (self.acknowledged + self.size).min(self.bytes.len());
        Message {
            kind: MessageType::Fragment as i32,
            term: self.term,
            message_number: self.number,
            offset: self.acknowledged as u64,
            total: self.bytes.len() as u64,
            fragment: self.bytes[self.acknowledged..end].to_vec(),
            ..Default::default()
        }
    }
}

impl Fragmenter {
    /// Numbers of messages begin anywhere, so that no life of this node uses those of
    /// another.
    pub fn new(first_number: u64, resend: u64, gone: u64) -> Fragmenter {
        Fragmenter {
            next_number: first_number,
            resend,
            gone,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            sizes: BTreeMap::new(),
        }
    }

    /// What to send in place of a message: itself, its first fragment, or nothing
    /// while another is on its way. What an append says besides its entries is
    /// always said.
    pub fn send(&mut self, now: u64, to: u64, message: Message) -> Option<Message> {
        if message.kind == MessageType::Fragment as i32 || message.encoded_len() <= WHOLE_BYTES {
            return Some(message);
        }
        let busy = self
            .outgoing
            .get(&to)
            .is_some_and(|o| o.term == message.term && now.saturating_sub(o.heard_at) < self.gone);
        if busy {
            let entries = Vec::new();
            return (message.kind == MessageType::AppendEntries as i32)
                .then_some(Message { entries, ..message });
        }
        self.next_number = self.next_number.wrapping_add(1);
        let others = self.outgoing.keys().filter(|peer| **peer != to).count();
        let first = (FIRST_BYTES / (others + 1)).max(LEAST_BYTES);
        let mut outgoing = Outgoing {
            number: self.next_number,
            term: message.term,
            bytes: message.encode_to_vec(),
            acknowledged: 0,
            size: self.sizes.get(&to).map_or(first, |s| first.min(*s)),
            sent_at: now,
            heard_at: now,
        };
        let first = outgoing.fragment(now);
        self.outgoing.insert(to, outgoing);
        Some(first)
    }

    /// A fragment has arrived at a peer: the next one, if there is one.
    pub fn acknowledged(&mut self, now: u64, from: u64, message: &Message) -> Option<Message> {
        let o = self
            .outgoing
            .get_mut(&from)
            .filter(|o| o.number == message.message_number)?;
        let offset = message.offset as usize;
        o.heard_at = now;
        // Said before, unless the peer has begun anew.
        if offset == o.acknowledged && offset > 0 || offset > o.bytes.len() {
            return None;
        }
        let took = now.saturating_sub(o.sent_at);
        if took < SWIFT_MS {
            o.size = (o.size * 4).min(MOST_BYTES);
        } else if took < FAST_MS {
            o.size = (o.size * 2).min(MOST_BYTES);
        } else if took > SLOW_MS {
            o.size = (o.size / 2).max(LEAST_BYTES);
        }
        o.acknowledged = offset;
        if self.sizes.len() >= SIZES {
            self.sizes.clear();
        }
        self.sizes.insert(from, o.size);
        if offset == o.bytes.len() {
            self.outgoing.remove(&from);
            return None;
        }
        Some(o.fragment(now))
    }

    /// Sends again what has had no answer, and gives up peers that are gone.
    pub fn tick(&mut self, now: u64) -> Vec<(u64, Message)> {
        let (resend, gone) = (self.resend, self.gone);
        let heard = |at: u64| now.saturating_sub(at) < gone;
        self.outgoing.retain(|_, o| heard(o.heard_at));
        self.incoming.retain(|_, i| heard(i.heard_at));
        let late = |o: &Outgoing| now.saturating_sub(o.sent_at) >= resend;
        let sizes = &mut self.sizes;
        let again = self.outgoing.iter_mut().filter(|(_, o)| late(o));
        again
            .map(|(to, o)| {
                o.size = (o.size / 2).max(LEAST_BYTES);
                sizes.insert(*to, o.size);
                (*to, o.fragment(now))
            })
            .collect()
    }

    /// The moment of the next tick that matters.
    pub fn next_tick(&self) -> Option<u64> {
        self.outgoing.values().map(|o| o.sent_at + self.resend).min()
    }

    /// Takes a fragment in: the answer, and the message once it is whole.
    pub fn receive(&mut self, now: u64, from: u64, message: Message) -> (Option<Message>, Option<Message>) {
        if message.total > MESSAGE_BYTES {
            return (None, None);
        }
        let known = self
            .incoming
            .get(&from)
            .is_some_and(|i| i.number == message.message_number);
        if !known && message.offset == 0 {
            if self.incoming.len() >= PEERS {
                let oldest = self
                    .incoming
                    .iter()
                    .min_by_key(|(_, i)| i.heard_at)
                    .map(|(p, _)| *p);
                oldest.map(|p| self.incoming.remove(&p));
            }
            let fresh = Incoming {
                number: message.message_number,
                total: message.total,
                bytes: Vec::new(),
                received: 0,
                heard_at: now,
            };
            self.incoming.insert(from, fresh);
        }
        let mut reply = Message {
            kind: MessageType::FragmentAck as i32,
            term: message.term,
            message_number: message.message_number,
            ..Default::default()
        };
        let Some(i) = self
            .incoming
            .get_mut(&from)
            .filter(|i| i.number == message.message_number)
        else {
            // The middle of a message whose beginning this life has not seen.
            return (Some(reply), None);
        };
        i.heard_at = now;
        let fits = i.received + message.fragment.len() as u64 <= i.total;
        let news = message.offset == i.received && !message.fragment.is_empty() && fits;
        if news {
            i.bytes.extend_from_slice(&message.fragment);
            i.received += message.fragment.len() as u64;
        }
        reply.offset = i.received;
        let whole = news && i.received == i.total;
        let assembled = whole.then(|| std::mem::take(&mut i.bytes));
        let assembled = assembled.and_then(|bytes| Message::decode(bytes.as_slice()).ok());
        (Some(reply), assembled)
    }
}
