//! Messages between nodes, and the changes that the log orders.

use preview::{Create, Preview, PreviewChange, Trial};
use prost::{Message, Oneof};
use std::collections::BTreeMap;

/// One frame on a held connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct Letter {
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The cluster the sender belongs to; 0 while it belongs to none.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    #[prost(oneof = "Matter", tags = "3, 4, 5, 6, 7, 8, 10")]
    pub matter: Option<Matter>,
    /// The internal address on which the sender can be answered; empty if it
    /// wants no answer.
    #[prost(string, tag = "9")]
    pub reply_to: String,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Matter {
    /// An encoded message of the agreement.
    #[prost(bytes, tag = "3")]
    Agreement(Vec<u8>),
    #[prost(message, tag = "4")]
    Call(Box<ControlCall>),
    #[prost(message, tag = "5")]
    Answer(ControlAnswer),
    #[prost(message, tag = "6")]
    Report(Report),
    #[prost(message, tag = "7")]
    Digests(Digests),
    #[prost(message, tag = "8")]
    Mend(Box<Mend>),
    /// Nothing but the connection that carries it.
    #[prost(bool, tag = "10")]
    Hello(bool),
}

/// A call of the operator, passed on to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct ControlCall {
    /// The number of the call within the life of the process that passes it on.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(oneof = "Order", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub order: Option<Order>,
    #[prost(fixed64, tag = "12")]
    pub life: u64,
    /// Of an order that names no base.
    #[prost(message, optional, tag = "13")]
    pub tag: Option<OrderTag>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Order {
    #[prost(message, tag = "2")]
    Replace(ReplaceOrder),
    #[prost(message, tag = "3")]
    Evacuate(EvacuationChange),
    /// Read the newest configuration back.
    #[prost(bool, tag = "4")]
    Read(bool),
    /// Report the state of the system.
    #[prost(bool, tag = "5")]
    Status(bool),
    /// Change named items of the configuration.
    #[prost(message, tag = "6")]
    Modify(ReplaceOrder),
    /// Move a service to a new version.
    #[prost(message, tag = "7")]
    Begin(BeginOrder),
    /// Read the newest rollout of a service.
    #[prost(string, tag = "8")]
    Rollout(String),
    /// Promote, pause, resume, roll back or cancel a rollout.
    #[prost(message, tag = "9")]
    Steer(PreviewChange),
    #[prost(message, tag = "10")]
    KillSwitch(KillSwitch),
    /// Read all rollouts.
    #[prost(bool, tag = "11")]
    Rollouts(bool),
}

/// An order to move a service to a new version.
#[derive(Clone, PartialEq, Message)]
pub struct BeginOrder {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(message, optional, tag = "2")]
    pub create: Option<Create>,
    #[prost(string, tag = "3")]
    pub who: String,
    #[prost(string, tag = "4")]
    pub why: String,
}

/// While it is on no rollout starts or is promoted.
#[derive(Clone, PartialEq, Message)]
pub struct KillSwitch {
    #[prost(bool, tag = "1")]
    pub on: bool,
    #[prost(string, tag = "2")]
    pub who: String,
    #[prost(string, tag = "3")]
    pub why: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReplaceOrder {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The whole configuration; in an [`Order::Modify`], the change to it. Empty in
    /// the log where the amendment says it all.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The body of a `modify`; empty for a `replace`.
    #[prost(bytes = "vec", tag = "3")]
    pub amendment: Vec<u8>,
}

/// The answer to a call of the operator.
#[derive(Clone, PartialEq, Message)]
pub struct ControlAnswer {
    /// The number and the life that the call named.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(fixed64, tag = "4")]
    pub life: u64,
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// A name in four bytes, for reports: they go between regions twice a second,
/// and the leader knows the names.
pub fn short(name: &str) -> u32 {
    name.bytes()
        .fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// What an edge node tells the leader: rates, capacities and distances.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The site: the region, or the zone where zones are the sites.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The span that the counts cover, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub span_ms: u64,
    #[prost(message, repeated, tag = "4")]
    pub demand: Vec<Demand>,
    #[prost(message, repeated, tag = "5")]
    pub capacity: Vec<Capacity>,
    #[prost(message, repeated, tag = "6")]
    pub distance: Vec<Distance>,
    /// Requests a second that the node itself can carry.
    #[prost(double, tag = "7")]
    pub carry: f64,
    #[prost(message, repeated, tag = "8")]
    pub keys: Vec<KeyCounts>,
    /// Outcomes of services that are being rolled out.
    #[prost(message, repeated, tag = "9")]
    pub trials: Vec<Trial>,
}

impl Report {
    /// Adds what another node of the same region reports: a voter passes on
    /// the sum of what those that it feeds have counted.
    pub fn absorb(&mut self, other: Report) {
        for mut d in other.demand {
            if d.group.is_empty() {
                d.group.clone_from(&other.zone);
            }
            let own = d.group == self.zone;
            let same =
                |x: &Demand| x.service == d.service && (x.group == d.group || own && x.group.is_empty());
            match self.demand.iter_mut().find(|x| same(x)) {
                Some(x) => x.count += d.count,
                None => self.demand.push(d),
            }
        }
        let mut workers: BTreeMap<u32, usize> = self
            .capacity
            .iter()
            .enumerate()
            .map(|(i, w)| (w.worker, i))
            .collect();
        for w in other.capacity {
            let at = *workers.entry(w.worker).or_insert(self.capacity.len());
            match self.capacity.get_mut(at) {
                Some(x) => {
                    let served = x.served + w.served;
                    if served > 0 {
                        let sum = f64::from(x.answer_ms) * x.served as f64
                            + f64::from(w.answer_ms) * w.served as f64;
                        x.answer_ms = (sum / served as f64) as f32;
                    }
                    x.served = served;
                    x.failed += w.failed;
                }
                None => self.capacity.push(w),
            }
        }
        for d in other.distance {
            match self.distance.iter_mut().find(|x| x.region == d.region) {
                Some(x) => x.rtt_ms = (x.rtt_ms + d.rtt_ms) / 2.0,
                None => self.distance.push(d),
            }
        }
        for t in other.trials {
            match self.trials.iter_mut().find(|x| x.is_same(&t)) {
                Some(x) => x.absorb(&t),
                None => self.trials.push(t),
            }
        }
        self.span_ms = self.span_ms.max(other.span_ms);
        self.carry += other.carry;
        for k in other.keys {
            let Some(x) = self.keys.iter_mut().find(|x| x.service == k.service) else {
                self.keys.push(k);
                continue;
            };
            let counts = x
                .buckets
                .iter()
                .zip(&x.counts)
                .chain(k.buckets.iter().zip(&k.counts));
            let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
            for (bucket, count) in counts {
                *sums.entry(*bucket).or_default() += count;
            }
            (x.buckets, x.counts) = sums.into_iter().unzip();
        }
    }
}

/// Requests for the keys of a service, by bucket of neighbouring keys.
#[derive(Clone, PartialEq, Message)]
pub struct KeyCounts {
    /// The service, by [`short`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The service, by [`short`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The client group: the zone the clients are in; empty for the node's own.
    #[prost(string, tag = "2")]
    pub group: String,
    #[prost(uint64, tag = "3")]
    pub count: u64,
}

/// What a node has observed of a worker.
#[derive(Clone, PartialEq, Message)]
pub struct Capacity {
    /// The worker, by [`short`].
    #[prost(fixed32, tag = "1")]
    pub worker: u32,
    /// Mean time of an answer, in milliseconds.
    #[prost(float, tag = "2")]
    pub answer_ms: f32,
    #[prost(uint64, tag = "3")]
    pub served: u64,
    #[prost(uint64, tag = "4")]
    pub failed: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Distance {
    /// The region, by [`short`].
    #[prost(fixed32, tag = "1")]
    pub region: u32,
    #[prost(float, tag = "2")]
    pub rtt_ms: f32,
}

/// Digests of the ranges of a data-plane copy, at the index it stands at.
#[derive(Clone, PartialEq, Message)]
pub struct Digests {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, repeated, tag = "2")]
    pub ranges: Vec<u64>,
    /// The life that asks, and its number of the question.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    #[prost(uint64, tag = "4")]
    pub id: u64,
}

/// The rows of ranges that differ, from the newer copy.
#[derive(Clone, PartialEq, Message)]
pub struct Mend {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint32, repeated, tag = "2")]
    pub ranges: Vec<u32>,
    #[prost(message, optional, tag = "3")]
    pub image: Option<StageImage>,
    /// The life and the number of the question that it answers.
    #[prost(fixed64, tag = "4")]
    pub life: u64,
    #[prost(uint64, tag = "5")]
    pub id: u64,
}

/// One change to the control state, as the log orders it.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 11")]
    pub kind: Option<ChangeKind>,
    /// Of an order that names no base: what it is known by when it comes again.
    #[prost(message, optional, tag = "10")]
    pub tag: Option<OrderTag>,
}

/// What an order is known by that names no base to compare with.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrderTag {
    /// The life of the process that the operator's call reached, and its number there.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The index that the node stood at when the call reached it: whatever came of
    /// the order stands behind it in the log.
    #[prost(uint64, tag = "3")]
    pub as_of: u64,
    /// What the order is about (a zone, a service), and the order itself as it was
    /// sent, each by its digest.
    #[prost(fixed64, tag = "4")]
    pub subject: u64,
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// The index of a like order that came a moment ago as the leader saw it; 0 for none.
    /// Whether it is repeated is judged where the entry is applied.
    #[prost(uint64, tag = "6")]
    pub again: u64,
    /// To be carried out once too often is worse than once too few: it may repeat an
    /// order although another on the subject has come between.
    #[prost(bool, tag = "7")]
    pub cautious: bool,
}

/// What the control state remembers of orders that were judged.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerImage {
    #[prost(message, repeated, tag = "1")]
    pub taken: Vec<TakenOrder>,
    #[prost(message, repeated, tag = "2")]
    pub ahead: Vec<TakenOrder>,
    #[prost(message, repeated, tag = "3")]
    pub orders: Vec<JudgedOrder>,
    /// The newest base and index that have been forgotten; 0 for none.
    #[prost(uint64, optional, tag = "4")]
    pub forgotten_base: Option<u64>,
    #[prost(uint64, tag = "5")]
    pub forgotten_index: u64,
}

/// A configuration order: the base that it names and its digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TakenOrder {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// An order with a tag that was judged.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JudgedOrder {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(message, optional, tag = "2")]
    pub tag: Option<OrderTag>,
    #[prost(bool, tag = "3")]
    pub taken: bool,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum ChangeKind {
    #[prost(message, tag = "1")]
    Replace(ReplaceOrder),
    #[prost(message, tag = "2")]
    Evacuate(EvacuationChange),
    #[prost(message, tag = "3")]
    Workers(WorkersChange),
    #[prost(message, tag = "4")]
    Keys(KeysChange),
    #[prost(message, tag = "5")]
    Placement(PlacementChange),
    #[prost(message, tag = "6")]
    Allowance(AllowanceChange),
    #[prost(message, tag = "7")]
    Bench(BenchChange),
    #[prost(message, tag = "8")]
    Rollout(PreviewChange),
    #[prost(message, tag = "9")]
    KillSwitch(KillSwitch),
    #[prost(message, tag = "11")]
    ReplaceDelta(ReplaceDelta),
}

/// A [`ReplaceOrder`] as the log holds it: what it changes of the configuration that was
/// in force where it was proposed.
#[derive(Clone, PartialEq, Message)]
pub struct ReplaceDelta {
    /// What the order is known by.
    #[prost(message, optional, tag = "1")]
    pub order: Option<TakenOrder>,
    /// Digest of the body that it changes.
    #[prost(bytes = "vec", tag = "2")]
    pub base_digest: Vec<u8>,
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<DeltaPart>,
}

/// Some bytes, and then a piece of the body that is changed.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaPart {
    #[prost(bytes = "vec", tag = "1")]
    pub literal: Vec<u8>,
    #[prost(uint64, tag = "2")]
    pub from: u64,
    #[prost(uint64, tag = "3")]
    pub length: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EvacuationChange {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(bool, tag = "2")]
    pub begin: bool,
}

/// A worker as the platform lists it.
#[derive(Clone, PartialEq, Message)]
pub struct Worker {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// How much longer it was cold when the list was read, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// The index of the log at which `cold_ms` was told.
    #[prost(uint64, tag = "8")]
    pub cold_at: u64,
    /// The index that the log stood at before the list was read that told so.
    #[prost(uint64, tag = "9")]
    pub as_of: u64,
    /// Which nodes may call it while it is cold, by the number of a [`Cast`]; 0
    /// for none.
    #[prost(uint32, tag = "10")]
    pub cast: u32,
    /// The version of its software.
    #[prost(string, tag = "11")]
    pub version: String,
}

/// Nodes that share what a cold worker bears. What a number stands for never
/// changes.
#[derive(Clone, PartialEq, Message)]
pub struct Cast {
    #[prost(uint32, tag = "1")]
    pub number: u32,
    #[prost(fixed64, repeated, tag = "2")]
    pub nodes: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct WorkersChange {
    #[prost(message, repeated, tag = "1")]
    pub put: Vec<Worker>,
    #[prost(string, repeated, tag = "2")]
    pub gone: Vec<String>,
    /// Casts that the workers put may name, as far as they are new.
    #[prost(message, repeated, tag = "3")]
    pub casts: Vec<Cast>,
    /// Workers that are cold no longer.
    #[prost(string, repeated, tag = "4")]
    pub warm: Vec<String>,
    /// The index that the log stood at before the list was read.
    #[prost(uint64, tag = "5")]
    pub as_of: u64,
}

/// A contiguous range of keys of a service and who holds it.
#[derive(Clone, PartialEq, Message)]
pub struct Holding {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub from: u32,
    #[prost(uint32, tag = "3")]
    pub to: u32,
    /// The worker; empty while nobody holds the range.
    #[prost(string, tag = "4")]
    pub worker: String,
    #[prost(uint64, tag = "5")]
    pub fence: u64,
    /// The range is being taken back from its worker.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    #[prost(string, tag = "7")]
    pub handover: String,
}

/// Replaces the holdings of a service that lie within the ranges put.
#[derive(Clone, PartialEq, Message)]
pub struct KeysChange {
    #[prost(message, repeated, tag = "1")]
    pub put: Vec<Holding>,
}

/// The fraction of answers for a service and client group that point at a site.
#[derive(Clone, PartialEq, Message)]
pub struct Fraction {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub group: String,
    #[prost(string, tag = "3")]
    pub site: String,
    #[prost(double, tag = "4")]
    pub part: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct PlacementChange {
    #[prost(message, repeated, tag = "1")]
    pub fractions: Vec<Fraction>,
}

/// All workers that get nothing for now because they fail or lag.
#[derive(Clone, PartialEq, Message)]
pub struct BenchChange {
    #[prost(string, repeated, tag = "1")]
    pub workers: Vec<String>,
}

/// Which nodes may use a share of the slack of the retry budget: those added
/// and those taken off, and how much each of all that are named has.
#[derive(Clone, PartialEq, Message)]
pub struct AllowanceChange {
    #[prost(fixed64, repeated, tag = "1")]
    pub put: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    pub gone: Vec<u64>,
    #[prost(double, tag = "3")]
    pub slack: f64,
}

/// The whole control state.
#[derive(Clone, PartialEq, Message)]
pub struct StageImage {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
    #[prost(uint64, tag = "4")]
    pub base: u64,
    #[prost(string, repeated, tag = "5")]
    pub evacuated: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    pub workers: Vec<Worker>,
    #[prost(message, repeated, tag = "7")]
    pub holdings: Vec<Holding>,
    #[prost(message, repeated, tag = "8")]
    pub fractions: Vec<Fraction>,
    /// Nodes with a share of the retry slack, and that share.
    #[prost(fixed64, repeated, tag = "9")]
    pub allowances: Vec<u64>,
    #[prost(double, tag = "13")]
    pub slack: f64,
    /// Zones taken back from an evacuation, and the index at which they were.
    #[prost(message, repeated, tag = "10")]
    pub returned: Vec<ZoneReturn>,
    /// The `modify` that the configuration was made by, in images older than the
    /// ledger.
    #[prost(bytes = "vec", tag = "11")]
    pub amendment: Vec<u8>,
    #[prost(string, repeated, tag = "12")]
    pub benched: Vec<String>,
    #[prost(message, repeated, tag = "14")]
    pub casts: Vec<Cast>,
    #[prost(message, repeated, tag = "15")]
    pub rollouts: Vec<Preview>,
    #[prost(message, optional, tag = "16")]
    pub kill_switch: Option<KillSwitch>,
    #[prost(message, optional, tag = "17")]
    pub ledger: Option<LedgerImage>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ZoneReturn {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_passed_on_adds_up() {
        let report = |zone: &str, worker, served, ms, bucket| Report {
            zone: zone.into(),
            region: "r".into(),
            span_ms: 500,
            demand: vec![Demand {
                service: 1,
                group: String::new(),
                count: served,
            }],
            capacity: vec![Capacity {
                worker,
                answer_ms: ms,
                served,
                failed: 1,
            }],
            carry: 10.0,
            keys: vec![KeyCounts {
                service: 1,
                buckets: vec![bucket, 9],
                counts: vec![1, 2],
            }],
            ..Default::default()
        };
        let mut sum = report("a", 7, 10, 100.0, 3);
        sum.absorb(report("a", 7, 30, 200.0, 4));
        sum.absorb(report("b", 8, 5, 50.0, 3));
        let demand: Vec<_> = sum.demand.iter().map(|d| (d.group.as_str(), d.count)).collect();
        assert_eq!(demand, [("", 40), ("b", 5)]);
        let capacity: Vec<_> = sum
            .capacity
            .iter()
            .map(|w| (w.worker, w.served, w.failed, w.answer_ms))
            .collect();
        assert_eq!(capacity, [(7, 40, 2, 175.0), (8, 5, 1, 50.0)]);
        assert_eq!((sum.carry, sum.span_ms), (30.0, 500));
        assert_eq!(
            (&sum.keys[0].buckets, &sum.keys[0].counts),
            (&vec![3, 4, 9], &vec![2, 1, 6])
        );
    }
}
