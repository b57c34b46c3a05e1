//! The ledger of orders: what the control state remembers of those that were judged, so
//! that an order sent again is known by any leader after any loss. It is part of the
//! replicated state and of its snapshots; nothing here rests on time or on one process.
//!
//! A configuration order is known by its base and its digest. Bases only go up, so of all
//! orders on a base below the current version at most one was taken: the ledger names it.
//! Other orders name no base; they carry an [`OrderTag`]. What the ledger no longer
//! remembers it does not judge: such an order gets no clear answer.
//! (D. Ongaro, "Consensus: Bridging Theory and Practice", 6.3, with sessions replaced by
//! what the operator's protocol offers.)

use config::constants as c;
use prost::Message as _;
use protocol::{ControlCall, JudgedOrder, LedgerImage, Order, OrderTag, ReplaceOrder, TakenOrder};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// Bytes of a digest that are kept: no two orders of an operator meet in so many.
const DIGEST_BYTES: usize = 16;

/// What the ledger says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It has not been judged: it is to be judged now.
    New,
    /// It was taken.
    Taken,
    /// It was refused, or another has its place.
    Refused,
    /// It may have been judged, longer ago than is remembered.
    Unclear,
}

/// The orders that were judged, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    taken: VecDeque<TakenOrder>,
    /// Refused ones on a base that no configuration has had yet.
    ahead: VecDeque<TakenOrder>,
    orders: VecDeque<JudgedOrder>,
    forgotten_base: Option<u64>,
    forgotten_index: u64,
}

/// The digest of what an order says, part by part; no two lists of parts are alike.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// A digest in eight bytes, for an [`OrderTag`].
pub fn short_digest(parts: &[&[u8]]) -> u64 {
    let bytes = digest(parts);
    u64::from_le_bytes(std::array::from_fn(|i| bytes[i]))
}

/// The digest of a configuration's body.
pub fn body_digest(body: &[u8]) -> Vec<u8> {
    digest(&[b"body", body])[..DIGEST_BYTES].to_vec()
}

/// What a configuration order is known by.
pub fn key_of(order: &ReplaceOrder) -> TakenOrder {
    // Of a `modify` the log holds the amendment, whatever it came to.
    let parts: [&[u8]; 2] = if order.amendment.is_empty() {
        [b"replace", &order.body]
    } else {
        [b"modify", &order.amendment]
    };
    TakenOrder {
        base: order.base,
        digest: digest(&parts)[..DIGEST_BYTES].to_vec(),
    }
}

/// What an order without a base is about, and the order itself as it was sent, each by its
/// digest; `None` for reads and for orders that name a base.
pub fn order_digests(order: &Order) -> Option<(u64, u64)> {
    let subject: [&[u8]; 2] = match order {
        Order::Evacuate(e) => [b"zone", e.zone.as_bytes()],
        Order::Begin(order) => [b"service", order.service.as_bytes()],
        Order::Steer(change) => [b"service", change.service.as_bytes()],
        Order::KillSwitch(_) => [b"switch", b""],
        _ => return None,
    };
    let sent = ControlCall {
        order: Some(order.clone()),
        ..Default::default()
    };
    let digest = short_digest(&[&sent.encode_to_vec()]);
    Some((short_digest(&subject), digest))
}

impl Ledger {
    /// The ledger of a store older than it: the one order that is in force.
    pub fn of_one(base: u64, body: &[u8], amendment: &[u8], version: u64) -> Ledger {
        let mut ledger = Ledger::default();
        if version > 0 {
            let order = ReplaceOrder {
                base,
                body: body.to_vec(),
                amendment: amendment.to_vec(),
            };
            ledger.take_configuration(key_of(&order), version);
            ledger.forgotten_base = base.checked_sub(1);
        }
        ledger
    }

    /// What is known of a configuration order while `version` is current.
    pub fn configuration(&self, key: &TakenOrder, version: u64) -> Known {
        if let Some(at_base) = self.taken.iter().rev().find(|t| t.base == key.base) {
            return if at_base.digest == key.digest {
                Known::Taken
            } else {
                Known::Refused
            };
        }
        if self.ahead.contains(key) {
            return Known::Refused;
        }
        match key.base.cmp(&version) {
            std::cmp::Ordering::Equal => Known::New,
            std::cmp::Ordering::Less if self.forgotten_base.is_some_and(|f| key.base <= f) => Known::Unclear,
            std::cmp::Ordering::Less => Known::Refused,
            // To be refused for good it must be remembered until its base is passed.
            std::cmp::Ordering::Greater if self.ahead.len() >= c::AHEAD_KEPT => Known::Unclear,
            std::cmp::Ordering::Greater => Known::Refused,
        }
    }

    /// Notes a configuration order that was taken and made `version` current.
    pub fn take_configuration(&mut self, key: TakenOrder, version: u64) {
        self.taken.push_back(key);
        while self.taken.len() > c::TAKEN_KEPT {
            self.forgotten_base = self.taken.pop_front().map(|t| t.base);
        }
        // Below the current version the list of those taken says it all.
        self.ahead.retain(|a| a.base >= version);
    }

    /// Notes a configuration order that was refused since its base is above `version`.
    pub fn refuse_ahead(&mut self, key: TakenOrder, version: u64) {
        if key.base > version && !self.ahead.contains(&key) && self.ahead.len() < c::AHEAD_KEPT {
            self.ahead.push_back(key);
        }
    }

    /// What is known of an order with a tag, and the index at which it was judged.
    pub fn order(&self, tag: &OrderTag) -> (Known, u64) {
        // The leader says that a like order came a moment ago; whether it is still the one
        // to go by where the entry stands, only the log can say.
        let repeats = (tag.again != 0).then(|| self.alike(tag)).flatten();
        let is_this = |o: &&JudgedOrder| {
            let same = |t: &OrderTag| (t.life, t.number) == (tag.life, tag.number);
            o.tag.as_ref().is_some_and(same) || repeats == Some(o.index)
        };
        match self.orders.iter().find(is_this) {
            Some(o) if o.taken => (Known::Taken, o.index),
            Some(o) => (Known::Refused, o.index),
            // The log may hold it behind `as_of`; only if nothing from there on is
            // forgotten it is certainly new.
            None if tag.as_of < self.forgotten_index => (Known::Unclear, 0),
            None => (Known::New, 0),
        }
    }

    /// Notes an order with a tag that was judged at `index`.
    pub fn judged(&mut self, index: u64, tag: OrderTag, taken: bool) {
        self.orders.push_back(JudgedOrder {
            index,
            tag: Some(tag),
            taken,
        });
        while self.orders.len() > c::ORDERS_KEPT {
            let gone = self.orders.pop_front();
            self.forgotten_index = gone.map_or(self.forgotten_index, |o| o.index);
        }
    }

    /// The index of an order that this one may repeat: the newest on the subject, or for a
    /// cautious one the newest that is the same, if it is the same and was taken.
    pub fn alike(&self, tag: &OrderTag) -> Option<u64> {
        let same = |o: &JudgedOrder| o.tag.as_ref().is_some_and(|t| t.digest == tag.digest);
        let on_it = |o: &&JudgedOrder| {
            let subject = o.tag.as_ref().is_some_and(|t| t.subject == tag.subject);
            subject && (same(o) || !tag.cautious)
        };
        let newest = self.orders.iter().rev().find(on_it)?;
        (newest.taken && same(newest)).then_some(newest.index)
    }

    /// The index of a like order that came a moment ago, as the leader sees it: the newest
    /// under way in its log (index and tag), or else the newest remembered, if `recent`
    /// says so of its index. Orders that came between are for the log to see.
    pub fn repeated<'a>(
        &self,
        tag: &OrderTag,
        under_way: impl Iterator<Item = (u64, &'a OrderTag)>,
        recent: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let like = |t: &OrderTag| (t.subject, t.digest) == (tag.subject, tag.digest);
        let in_log = under_way.filter(|(_, t)| like(t)).map(|(index, _)| index).max();
        in_log.or_else(|| {
            let of = |o: &&JudgedOrder| o.tag.as_ref().is_some_and(like);
            let newest = self.orders.iter().rev().find(of)?;
            (newest.taken && recent(newest.index)).then_some(newest.index)
        })
    }

    /// The indexes of the orders with a tag that are remembered, ascending.
    pub fn indexes(&self) -> impl Iterator<Item = u64> + '_ {
        self.orders.iter().map(|o| o.index)
    }

    /// Configuration orders taken, refused ahead of their base, and others remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.taken.len(), self.ahead.len(), self.orders.len())
    }

    pub fn image(&self) -> LedgerImage {
        LedgerImage {
            taken: self.taken.iter().cloned().collect(),
            ahead: self.ahead.iter().cloned().collect(),
            orders: self.orders.iter().cloned().collect(),
            forgotten_base: self.forgotten_base,
            forgotten_index: self.forgotten_index,
        }
    }

    pub fn from_image(image: LedgerImage) -> Ledger {
        Ledger {
            taken: image.taken.into(),
            ahead: image.ahead.into(),
            orders: image.orders.into(),
            forgotten_base: image.forgotten_base,
            forgotten_index: image.forgotten_index,
        }
    }
}
