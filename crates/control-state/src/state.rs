//! The control state: what the log says, applied in order. Every node holds a
//! copy; two copies that stand at the same index are equal.

use crate::{body_digest, key_of, Known, Ledger};
use crate::{delta, patch};
use config::configuration::{Configuration, Fault, Service};
use config::constants as c;
use config::modify::amend;
use flate2::write::DeflateEncoder;
use flate2::{Compression, Crc, Decompress, FlushDecompress, Status};
use preview::{Refusal, Side, Table};
use prost::Message;
use protocol::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::Arc;

/// The number of keys of a partitioned service.
pub const KEYS: u32 = 65_536;

/// Most that a snapshot unpacks to, bytes: far above a thousand workers.
const SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;
/// Unpacked in steps of this size, bytes.
const UNPACK_STEP: usize = 64 * 1024;

/// First byte of a packed image; no image begins with it.
const PACKED: u8 = 0;

/// What applying a change came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Applied,
    /// The very same configuration is in place already.
    Already,
    /// Another version is current.
    Lost(u64),
    Invalid(Fault),
    /// A change of a rollout does not take place.
    Refused(Refusal),
    /// The order may have been judged, longer ago than the ledger remembers: it is not
    /// carried out, and nothing is promised.
    Unclear,
}

/// What becomes of a configuration order before it is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// It is for the log to order.
    Log,
    /// This copy would not take it; to be asked again once a majority has confirmed it.
    Confirm,
    /// The outcome, with no entry of its own.
    Final(Outcome),
}

#[derive(Clone, Debug, Default)]
pub struct Stage {
    pub index: u64,
    pub config: Option<Arc<Configuration>>,
    pub config_body: Arc<Vec<u8>>,
    /// The orders that were judged, for when one comes again.
    pub ledger: Arc<Ledger>,
    /// Evacuated zones, and how many evacuations of each are in force: two
    /// operators may empty the same zone, and each takes its own back.
    pub evacuated: BTreeMap<String, u32>,
    /// Zones taken back from an evacuation, with the index of the change.
    pub returned: BTreeMap<String, u64>,
    pub workers: Arc<BTreeMap<String, Arc<Worker>>>,
    /// Who may call the cold workers, by the number that their rows name.
    pub casts: Arc<BTreeMap<u32, Arc<BTreeSet<u64>>>>,
    /// Holdings by service, ordered by their first key.
    pub holdings: BTreeMap<String, Arc<BTreeMap<u32, Arc<Holding>>>>,
    /// Workers that fail or lag behind their fellows.
    pub benched: Arc<BTreeSet<String>>,
    pub fractions: Arc<Vec<Fraction>>,
    /// The newest rollout of each service.
    pub rollouts: Arc<Table>,
    /// What was last said of the kill switch of rollouts.
    pub kill_switch: Option<KillSwitch>,
    /// Nodes with a share of the retry slack, and that share.
    pub allowances: Arc<BTreeSet<u64>>,
    pub slack: f64,
}

impl Stage {
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// A service of the configuration in force.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(name)
    }

    /// How long the workers of a service are taken for cold whose zone was taken back,
    /// as long as nobody has told, ms.
    pub fn returned_cold_ms(&self, service: &str) -> u64 {
        let period = self.service(service).map_or(0, |s| s.cold_period_ms);
        period.max(c::RETURN_COLD_MS)
    }

    /// What a `modify` comes to: the order to replace the whole configuration
    /// by what it makes of the one in force.
    pub fn amended(&self, modify: ReplaceOrder) -> Result<ReplaceOrder, Outcome> {
        let order = ReplaceOrder {
            base: modify.base,
            body: Vec::new(),
            amendment: modify.body,
        };
        self.known_configuration(&order)?;
        let body = amend(&self.config_body, &order.amendment).map_err(Outcome::Invalid)?;
        Ok(ReplaceOrder { body, ..order })
    }

    /// A change as the log is to hold it: of a whole configuration, what it changes of
    /// the one in force here, if that is much less.
    pub fn for_log(&self, kind: ChangeKind) -> ChangeKind {
        let ChangeKind::Replace(order) = &kind else {
            return kind;
        };
        if !order.amendment.is_empty() || order.base != self.version() {
            return kind;
        }
        match delta(&self.config_body, &order.body) {
            Some(parts) => ChangeKind::ReplaceDelta(ReplaceDelta {
                order: Some(key_of(order)),
                base_digest: body_digest(&self.config_body),
                parts,
            }),
            None => kind,
        }
    }

    /// Carries out an order that the log holds as a change of another configuration. The
    /// version names the body; where another is in force the order lost its race.
    fn replace_by_delta(&mut self, change: ReplaceDelta) -> Outcome {
        let unfit = || Outcome::Invalid(Fault("a change of another configuration".into()));
        let Some(key) = change.order else { return unfit() };
        if let Err(outcome) = self.known_key(&key) {
            return outcome;
        }
        if change.base_digest != body_digest(&self.config_body) {
            return unfit();
        }
        let Some(body) = patch(&self.config_body, &change.parts, c::FRAME_BYTES) else {
            return unfit();
        };
        let order = ReplaceOrder {
            base: key.base,
            body,
            ..Default::default()
        };
        if key_of(&order) != key {
            return unfit();
        }
        self.replace(order)
    }

    /// What the ledger says of a configuration order that is not to be judged anew.
    fn known_configuration(&self, order: &ReplaceOrder) -> Result<(), Outcome> {
        self.known_key(&key_of(order))
    }

    fn known_key(&self, key: &TakenOrder) -> Result<(), Outcome> {
        let current = self.version();
        match self.ledger.configuration(key, current) {
            Known::New => Ok(()),
            Known::Taken => Err(Outcome::Already),
            Known::Refused => Err(Outcome::Lost(current)),
            Known::Unclear => Err(Outcome::Unclear),
        }
    }

    /// What becomes of a configuration order as far as this copy of the state can say.
    /// `confirmed`: a majority has confirmed, since the order came, that the copy holds
    /// all that was acknowledged.
    pub fn judge_order(&self, order: &ReplaceOrder, confirmed: bool) -> Judgement {
        let whole = if order.amendment.is_empty() {
            self.judge_replace(order).err()
        } else {
            let modify = ReplaceOrder {
                base: order.base,
                body: order.amendment.clone(),
                amendment: Vec::new(),
            };
            let whole = self.amended(modify);
            whole.and_then(|order| self.judge_replace(&order)).err()
        };
        match whole {
            None => Judgement::Log,
            // A refusal ahead of the base must be remembered to stay one.
            Some(Outcome::Lost(version)) if order.base > version => Judgement::Log,
            Some(_) if !confirmed => Judgement::Confirm,
            Some(outcome) => Judgement::Final(outcome),
        }
    }

    /// What replacing the configuration would come to, without doing it. Binding only
    /// where the log says it: a copy may be behind.
    pub fn judge_replace(&self, order: &ReplaceOrder) -> Result<Configuration, Outcome> {
        let current = self.version();
        let known = match self.known_configuration(order) {
            // What is invalid by itself was never taken, however little is remembered.
            Err(Outcome::Unclear) => Err(Outcome::Unclear),
            other => Ok(other?),
        };
        let config = Configuration::parse(&order.body).map_err(Outcome::Invalid)?;
        known?;
        if config.version <= current {
            return Err(Outcome::Invalid(Fault(format!(
                "Version {} is not above the current {current}",
                config.version
            ))));
        }
        Ok(config)
    }

    /// Carries out a configuration order.
    fn replace(&mut self, order: ReplaceOrder) -> Outcome {
        let (key, before) = (key_of(&order), self.version());
        // The log holds of a `modify` only what it changes.
        let order = if order.body.is_empty() && !order.amendment.is_empty() {
            self.amended(ReplaceOrder {
                base: order.base,
                body: order.amendment,
                amendment: Vec::new(),
            })
        } else {
            Ok(order)
        };
        let judged = order.and_then(|order| Ok((self.judge_replace(&order)?, order)));
        let ledger = Arc::make_mut(&mut self.ledger);
        match judged {
            Ok((config, order)) => {
                ledger.take_configuration(key, config.version);
                self.config = Some(Arc::new(config));
                self.config_body = Arc::new(order.body);
                self.drop_unknown();
                Outcome::Applied
            }
            Err(outcome) => {
                if matches!(outcome, Outcome::Lost(_)) {
                    ledger.refuse_ahead(key, before);
                }
                outcome
            }
        }
    }

    /// Begins an evacuation of a zone, or takes one back.
    fn evacuate(&mut self, index: u64, e: EvacuationChange) -> Outcome {
        if e.begin {
            *self.evacuated.entry(e.zone).or_default() += 1;
            return Outcome::Applied;
        }
        match self.evacuated.get_mut(&e.zone) {
            Some(count) if *count > 1 => *count -= 1,
            Some(_) => {
                self.evacuated.remove(&e.zone);
                self.returned.insert(e.zone, index);
            }
            None => return Outcome::Already,
        }
        Outcome::Applied
    }

    /// Applies the change at `index`. Changes at or below the index that the
    /// copy stands at have been applied already and do nothing.
    pub fn apply(&mut self, index: u64, data: &[u8]) -> Outcome {
        if index <= self.index {
            return Outcome::Already;
        }
        self.index = index;
        let Ok(change) = Change::decode(data) else {
            return Outcome::Invalid(Fault("a change that cannot be read".into()));
        };
        let Some(tag) = change.tag else {
            return self.carry_out(index, change.kind);
        };
        match self.ledger.order(&tag) {
            (Known::Taken, _) => Outcome::Already,
            (Known::Refused, at) => Outcome::Refused(Refusal::Conflict(at)),
            (Known::Unclear, _) => Outcome::Unclear,
            (Known::New, _) => {
                let outcome = self.carry_out(index, change.kind);
                let taken = matches!(outcome, Outcome::Applied | Outcome::Already);
                Arc::make_mut(&mut self.ledger).judged(index, tag, taken);
                outcome
            }
        }
    }

    fn carry_out(&mut self, index: u64, kind: Option<ChangeKind>) -> Outcome {
        match kind {
            Some(ChangeKind::Replace(order)) => self.replace(order),
            Some(ChangeKind::ReplaceDelta(change)) => self.replace_by_delta(change),
            Some(ChangeKind::Evacuate(e)) => self.evacuate(index, e),
            Some(ChangeKind::Workers(w)) => {
                let workers = Arc::make_mut(&mut self.workers);
                for id in &w.gone {
                    workers.remove(id);
                }
                for mut worker in w.put {
                    worker.cold_at = index;
                    worker.as_of = w.as_of;
                    workers.insert(worker.id.clone(), Arc::new(worker));
                }
                for id in &w.warm {
                    if let Some(worker) = workers.get_mut(id) {
                        let worker = Arc::make_mut(worker);
                        (worker.cold_ms, worker.cold_at, worker.as_of) = (0, index, w.as_of);
                    }
                }
                self.take_casts(w.casts);
                Outcome::Applied
            }
            Some(ChangeKind::Keys(k)) => {
                for holding in k.put {
                    self.put_holding(holding);
                }
                Outcome::Applied
            }
            Some(ChangeKind::Placement(p)) => {
                self.fractions = Arc::new(p.fractions);
                Outcome::Applied
            }
            Some(ChangeKind::Allowance(a)) => {
                let nodes = Arc::make_mut(&mut self.allowances);
                nodes.retain(|n| !a.gone.contains(n));
                nodes.extend(a.put);
                self.slack = a.slack;
                Outcome::Applied
            }
            Some(ChangeKind::Bench(b)) => {
                self.benched = Arc::new(b.workers.into_iter().collect());
                Outcome::Applied
            }
            Some(ChangeKind::Rollout(change)) => {
                match preview::apply(Arc::make_mut(&mut self.rollouts), index, &change) {
                    Ok(true) => Outcome::Applied,
                    Ok(false) => Outcome::Already,
                    Err(refusal) => Outcome::Refused(refusal),
                }
            }
            Some(ChangeKind::KillSwitch(switch)) => {
                self.kill_switch = Some(switch);
                Outcome::Applied
            }
            None => Outcome::Applied,
        }
    }

    /// Which part of the split of its service a worker belongs to.
    pub fn side(&self, worker: &Worker) -> Side {
        let rollout = self.rollouts.get(&worker.service);
        rollout.map_or(Side::Old, |p| p.side(&worker.version))
    }

    /// Whether a worker may be given keys, or keep them, as far as versions go.
    pub fn may_hold(&self, worker: &Worker) -> bool {
        let Some(p) = self.rollouts.get(&worker.service) else {
            return true;
        };
        match p.side(&worker.version) {
            Side::Neither => false,
            Side::Old => !p.is_active() || p.share() < 1.0,
            Side::New => p.share() > 0.0 && self.on_trial(&worker.service).iter().any(|w| w.id == worker.id),
        }
    }

    /// The workers that the new version's share is put on, in an order that all
    /// nodes agree on: warm ones first, one of each zone in turn.
    pub fn on_trial(&self, service: &str) -> Vec<&Arc<Worker>> {
        let Some(p) = self.rollouts.get(service).filter(|p| p.is_active()) else {
            return Vec::new();
        };
        let able = |w: &&Arc<Worker>| !w.draining && !self.evacuated.contains_key(&w.zone);
        let of = self.workers.values().filter(|w| w.service == service);
        let (new, old): (Vec<_>, Vec<_>) = of.filter(able).partition(|w| p.side(&w.version) == Side::New);
        let mut in_zone: BTreeMap<(bool, &str), usize> = BTreeMap::new();
        let mut ranked: Vec<_> = new
            .into_iter()
            .map(|w| {
                let cold = w.cold_ms > 0 || self.is_unread(w);
                let rank = in_zone.entry((cold, &w.zone)).or_default();
                *rank += 1;
                ((cold, *rank, &w.zone), w)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0));
        let share = p.share();
        let used = (old.len() as f64 * share * preview::USE_PART).ceil().max(1.0) as usize;
        let used = if share >= 1.0 { ranked.len() } else { used };
        ranked.into_iter().take(used).map(|(_, w)| w).collect()
    }

    /// Takes new casts in, and drops those that no worker names any more.
    fn take_casts(&mut self, new: Vec<Cast>) {
        let named: BTreeSet<u32> = self.workers.values().map(|w| w.cast).collect();
        if new.is_empty() && self.casts.keys().all(|n| named.contains(n)) {
            return;
        }
        let casts = Arc::make_mut(&mut self.casts);
        for cast in new {
            let nodes = Arc::new(cast.nodes.into_iter().collect());
            casts.entry(cast.number).or_insert(nodes);
        }
        casts.retain(|n, _| named.contains(n));
    }

    /// Whether the list has not been read yet since the worker's zone was taken
    /// back from an evacuation: nobody can say that it is warm.
    pub fn is_unread(&self, worker: &Worker) -> bool {
        self.returned
            .get(&worker.zone)
            .is_some_and(|index| *index > worker.as_of)
    }

    /// The nodes that may call a worker while it is cold.
    pub fn cast_of(&self, worker: &Worker) -> Option<&BTreeSet<u64>> {
        if self.is_unread(worker) {
            return None;
        }
        self.casts.get(&worker.cast).map(|c| &**c)
    }

    /// Services that a new configuration no longer divides hold no keys.
    fn drop_unknown(&mut self) {
        if let Some(config) = &self.config {
            self.holdings
                .retain(|s, _| config.services.get(s.as_str()).is_some_and(|s| s.partitioned));
        }
    }

    /// Puts a range, cutting away what it covers of older ranges.
    fn put_holding(&mut self, new: Holding) {
        let table = Arc::make_mut(self.holdings.entry(new.service.clone()).or_default());
        let first = table
            .range(..=new.from)
            .next_back()
            .map_or(new.from, |(from, _)| *from);
        let touched: Vec<Arc<Holding>> = table
            .range(first..=new.to)
            .map(|(_, h)| h.clone())
            .filter(|h| h.to >= new.from)
            .collect();
        for old in touched {
            table.remove(&old.from);
            let kept = |from, to| {
                let rest = Holding {
                    from,
                    to,
                    ..(*old).clone()
                };
                (from, Arc::new(rest))
            };
            table.extend((old.from < new.from).then(|| kept(old.from, new.from - 1)));
            table.extend((old.to > new.to).then(|| kept(new.to + 1, old.to)));
        }
        table.insert(new.from, Arc::new(new));
    }

    /// The range of a service that covers a key.
    pub fn holding(&self, service: &str, key: u32) -> Option<&Holding> {
        let (_, h) = self.holdings.get(service)?.range(..=key).next_back()?;
        (h.to >= key).then_some(&**h)
    }

    /// The highest fence ever given.
    pub fn top_fence(&self) -> u64 {
        self.holdings
            .values()
            .flat_map(|t| t.values())
            .map(|h| h.fence)
            .max()
            .unwrap_or(0)
    }

    pub fn image(&self) -> StageImage {
        StageImage {
            index: self.index,
            version: self.version(),
            configuration: self.config_body.to_vec(),
            // As the ledger tells them now.
            base: 0,
            amendment: Vec::new(),
            ledger: Some(self.ledger.image()),
            benched: self.benched.iter().cloned().collect(),
            rollouts: self.rollouts.values().map(|p| (**p).clone()).collect(),
            kill_switch: self.kill_switch.clone(),
            evacuated: self
                .evacuated
                .iter()
                .flat_map(|(z, n)| vec![z.clone(); *n as usize])
                .collect(),
            workers: self.workers.values().map(|w| (**w).clone()).collect(),
            casts: self
                .casts
                .iter()
                .map(|(number, nodes)| Cast {
                    number: *number,
                    nodes: nodes.iter().copied().collect(),
                })
                .collect(),
            holdings: self
                .holdings
                .values()
                .flat_map(|t| t.values().map(|h| (**h).clone()))
                .collect(),
            fractions: self.fractions.to_vec(),
            allowances: self.allowances.iter().copied().collect(),
            slack: self.slack,
            returned: self
                .returned
                .iter()
                .map(|(z, i)| ZoneReturn {
                    zone: z.clone(),
                    index: *i,
                })
                .collect(),
        }
    }

    /// The data of a snapshot: the image, packed, since hundreds of nodes are sent
    /// it over narrow links when all of them restart.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let image = self.image().encode_to_vec();
        let mut pack = DeflateEncoder::new(vec![PACKED], Compression::fast());
        let mut data = pack
            .write_all(&image)
            .and_then(|()| pack.finish())
            .expect("memory takes every write");
        data.extend(checksum(&image));
        data
    }

    /// The state that a snapshot of the log holds, at the index it stands for.
    /// Only the one before the first entry is empty: whatever else cannot be read
    /// whole is a fault, and never stands for a state.
    pub fn from_snapshot(index: u64, data: &[u8]) -> Result<Stage, Fault> {
        let image = match data.split_first() {
            None if index == 0 => return Ok(Stage::default()),
            None => return Err(Fault("no data".into())),
            Some((&PACKED, packed)) => unpack(packed)?,
            // As stores of earlier versions hold it.
            _ => data.to_vec(),
        };
        let image = StageImage::decode(image.as_slice()).map_err(|e| Fault(e.to_string()))?;
        let read = Stage::from_image(image);
        let mut stage = read.ok_or_else(|| Fault("its configuration cannot be read".into()))?;
        stage.index = stage.index.max(index);
        Ok(stage)
    }

    /// Whether the data of a snapshot at an index can be read.
    pub fn is_readable(index: u64, data: &[u8]) -> bool {
        Stage::from_snapshot(index, data).is_ok()
    }

    /// The state that an image holds; `None` if its configuration is unreadable.
    pub fn from_image(image: StageImage) -> Option<Stage> {
        let ledger = match image.ledger {
            Some(ledger) => Ledger::from_image(ledger),
            None => Ledger::of_one(image.base, &image.configuration, &image.amendment, image.version),
        };
        let config = if image.version == 0 {
            None
        } else {
            Some(Arc::new(Configuration::parse(&image.configuration).ok()?))
        };
        let mut stage = Stage {
            index: image.index,
            config,
            config_body: Arc::new(image.configuration),
            ledger: Arc::new(ledger),
            evacuated: image
                .evacuated
                .into_iter()
                .fold(BTreeMap::new(), |mut all, zone| {
                    *all.entry(zone).or_default() += 1;
                    all
                }),
            returned: image.returned.into_iter().map(|r| (r.zone, r.index)).collect(),
            workers: Arc::new(
                image
                    .workers
                    .into_iter()
                    .map(|w| (w.id.clone(), Arc::new(w)))
                    .collect(),
            ),
            casts: Arc::new(
                image
                    .casts
                    .into_iter()
                    .map(|c| (c.number, Arc::new(c.nodes.into_iter().collect())))
                    .collect(),
            ),
            benched: Arc::new(image.benched.into_iter().collect()),
            holdings: BTreeMap::new(),
            fractions: Arc::new(image.fractions),
            rollouts: Arc::new(
                image
                    .rollouts
                    .into_iter()
                    .map(|p| (p.service.clone(), Arc::new(p)))
                    .collect(),
            ),
            kill_switch: image.kill_switch,
            allowances: Arc::new(image.allowances.into_iter().collect()),
            slack: image.slack,
        };
        for h in image.holdings {
            let table = stage.holdings.entry(h.service.clone()).or_default();
            Arc::make_mut(table).insert(h.from, Arc::new(h));
        }
        Some(stage)
    }
}

/// CRC-32 of an image. Earlier versions read no further than the packed image, and
/// wrote none.
fn checksum(image: &[u8]) -> [u8; 4] {
    let mut sum = Crc::new();
    sum.update(image);
    sum.sum().to_le_bytes()
}

/// The image out of a packed one, if it is whole.
fn unpack(packed: &[u8]) -> Result<Vec<u8>, Fault> {
    let fault = |what: &str| Fault(format!("{what}, {} bytes", packed.len()));
    let mut unpack = Decompress::new(false);
    let mut image = Vec::new();
    loop {
        if image.len() >= SNAPSHOT_BYTES {
            return Err(fault("it unpacks to too much"));
        }
        image.reserve(UNPACK_STEP);
        let before = (unpack.total_in(), unpack.total_out());
        let rest = &packed[unpack.total_in() as usize..];
        let status = unpack.decompress_vec(rest, &mut image, FlushDecompress::None);
        match status.map_err(|e| Fault(e.to_string()))? {
            Status::StreamEnd => break,
            _ if (unpack.total_in(), unpack.total_out()) == before => return Err(fault("it ends too soon")),
            _ => {}
        }
    }
    let rest = &packed[unpack.total_in() as usize..];
    if rest.is_empty() || *rest == checksum(&image) {
        Ok(image)
    } else {
        Err(fault("its checksum is another"))
    }
}

/// Encodes a change for the log.
pub fn encode_change(kind: ChangeKind) -> Vec<u8> {
    encode_order(kind, None)
}

/// Encodes a change that an order asks for; with a tag if it names no base.
pub fn encode_order(kind: ChangeKind, tag: Option<OrderTag>) -> Vec<u8> {
    Change {
        kind: Some(kind),
        tag,
    }
    .encode_to_vec()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config(version: u64) -> Vec<u8> {
        format!(
            r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[{{"Name":"s","Partitioned":true}}]}}"#
        )
        .into_bytes()
    }

    fn replace(stage: &mut Stage, index: u64, base: u64, version: u64) -> Outcome {
        stage.apply(
            index,
            &encode_change(ChangeKind::Replace(ReplaceOrder {
                base,
                body: config(version),
                ..Default::default()
            })),
        )
    }

    #[test]
    fn one_racer_wins_and_a_resend_is_the_same_order() {
        let mut stage = Stage::default();
        assert_eq!(replace(&mut stage, 1, 0, 3), Outcome::Applied);
        assert_eq!(replace(&mut stage, 2, 0, 4), Outcome::Lost(3));
        assert_eq!(replace(&mut stage, 3, 0, 3), Outcome::Already);
        assert!(matches!(replace(&mut stage, 4, 3, 3), Outcome::Invalid(_)));
        assert_eq!(replace(&mut stage, 5, 3, 9), Outcome::Applied);
        assert_eq!(replace(&mut stage, 4, 9, 12), Outcome::Already, "never backwards");
        assert_eq!(stage.version(), 9);
    }

    #[test]
    fn a_modify_becomes_a_replace_and_is_known_when_it_comes_again() {
        let mut stage = Stage::default();
        let modify = |base, text: &str| ReplaceOrder {
            base,
            body: text.as_bytes().to_vec(),
            ..Default::default()
        };
        let add = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"t"}]}}"#);
        assert!(matches!(stage.amended(modify(0, "{}")), Err(Outcome::Invalid(_))));
        replace(&mut stage, 1, 0, 3);
        let order = stage.amended(add.clone()).expect("fits");
        assert_eq!(
            stage.apply(2, &encode_change(ChangeKind::Replace(order.clone()))),
            Outcome::Applied
        );
        assert!(stage
            .config
            .as_ref()
            .is_some_and(|c| c.services.contains_key("t")));
        let stage = Stage::from_image(stage.image()).expect("readable");
        assert_eq!(
            stage.amended(add),
            Err(Outcome::Already),
            "also by another leader"
        );
        let other = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"u"}]}}"#);
        assert_eq!(stage.amended(other), Err(Outcome::Lost(5)));
        let low = stage.amended(modify(5, r#"{"Version":5}"#)).expect("readable");
        assert!(matches!(stage.judge_replace(&low), Err(Outcome::Invalid(_))));
    }

    #[test]
    fn a_zone_stays_empty_until_every_evacuation_of_it_is_taken_back() {
        let mut stage = Stage::default();
        for (i, begin) in [(1, true), (2, true), (3, false)] {
            stage.apply(
                i,
                &encode_change(ChangeKind::Evacuate(EvacuationChange {
                    zone: "z".into(),
                    begin,
                })),
            );
        }
        let mut stage = Stage::from_image(stage.image()).expect("readable");
        assert!(stage.evacuated.contains_key("z"));
        let last = EvacuationChange {
            zone: "z".into(),
            begin: false,
        };
        assert_eq!(
            stage.apply(4, &encode_change(ChangeKind::Evacuate(last.clone()))),
            Outcome::Applied
        );
        assert!(stage.evacuated.is_empty());
        assert_eq!(
            stage.apply(5, &encode_change(ChangeKind::Evacuate(last))),
            Outcome::Already
        );
    }

    #[test]
    fn an_image_carries_everything_and_ranges_cut_older_ones() {
        let mut stage = Stage::default();
        replace(&mut stage, 1, 0, 3);
        let whole = |from, to, worker: &str, fence| Holding {
            service: "s".into(),
            from,
            to,
            worker: worker.into(),
            fence,
            ..Default::default()
        };
        let put = vec![whole(0, KEYS - 1, "a", 1), whole(100, 199, "b", 2)];
        stage.apply(2, &encode_change(ChangeKind::Keys(KeysChange { put })));
        stage.apply(
            3,
            &encode_change(ChangeKind::Evacuate(EvacuationChange {
                zone: "z".into(),
                begin: true,
            })),
        );
        assert_eq!(stage.holding("s", 99).map(|h| h.worker.as_str()), Some("a"));
        assert_eq!(stage.holding("s", 150).map(|h| h.worker.as_str()), Some("b"));
        assert_eq!(
            stage.holding("s", 200).map(|h| (h.from, h.to)),
            Some((200, KEYS - 1))
        );
        let again = Stage::from_image(stage.image()).expect("readable");
        assert_eq!(again.image(), stage.image());
        assert_eq!(again.top_fence(), 2);
        for data in [stage.to_snapshot(), stage.image().encode_to_vec()] {
            let read = Stage::from_snapshot(3, &data).expect("whole");
            assert_eq!(read.image(), stage.image());
        }
        assert!(Stage::from_snapshot(9, &[PACKED, 77]).is_err(), "unreadable");
    }
}
