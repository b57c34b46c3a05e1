use crate::notice::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// The times that membership goes by, in milliseconds, and its sizes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub probe_every: u64,
    pub probe_wait: u64,
    pub probe_limit: u64,
    pub helpers: usize,
    pub suspect: u64,
    pub forget: u64,
    pub gossip_times: u32,
    pub gossip_members: usize,
    pub join_every: u64,
    pub rejoin_every: u64,
    /// Least pause between two comparisons of everything that is known.
    pub exchange_every: u64,
}

struct Entry {
    member: Member,
    since: u64,
    /// How often the news of this entry may still be passed on.
    tell: u32,
}

/// Probes under way at the same time, probes: a lost region must not be found out
/// one node after the other.
const PROBES: usize = 4;

struct Probing {
    target: String,
    seq: u64,
    at: u64,
    asked_others: bool,
    /// Those that were asked to probe it as well.
    helpers: Vec<String>,
}

/// A probe made for another node.
struct ForOther {
    to: String,
    /// The number that the other knows it by.
    seq: u64,
    target: String,
    at: u64,
}

/// Who is there, as one node sees it.
pub struct Board {
    me: Member,
    seeds: Vec<String>,
    timing: Timing,
    rng: SmallRng,
    others: BTreeMap<String, Entry>,
    order: Vec<String>,
    /// Probes under way, at most [`PROBES`].
    probing: Vec<Probing>,
    /// Probes made for others, by our number.
    for_others: BTreeMap<u64, ForOther>,
    /// The number of the newest probe. Each life counts from a number drawn at
    /// random, so that an ack to the life before is none to this one.
    seq: u64,
    unknown_acks: u64,
    next_probe: u64,
    next_join: u64,
    my_tell: u32,
    /// Answers in a row from nodes that know something else.
    differed: u32,
    next_exchange: u64,
    changed: bool,
    out: Vec<(String, Notice)>,
    /// Round trips of direct probes, by address, smoothed, in ms.
    rtt: BTreeMap<String, f64>,
}

impl Board {
    pub fn new(me: Member, seeds: Vec<String>, timing: Timing, now: u64, seed: u64) -> Board {
        let mut rng = SmallRng::seed_from_u64(seed);
        let seq = u64::from(rng.gen::<u32>());
        Board {
            seeds: seeds.into_iter().filter(|s| *s != me.address).collect(),
            me,
            timing,
            rng,
            others: BTreeMap::new(),
            order: Vec::new(),
            probing: Vec::new(),
            for_others: BTreeMap::new(),
            seq,
            unknown_acks: 0,
            next_probe: now,
            next_join: now,
            my_tell: timing.gossip_times,
            differed: 0,
            next_exchange: now,
            changed: true,
            out: Vec::new(),
            rtt: BTreeMap::new(),
        }
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    /// How often one piece of news is passed on: the more nodes, the oftener,
    /// or it dies out before it has reached them all.
    fn tells(&self) -> u32 {
        let nodes = self.others.len() as u32 + 2;
        self.timing.gossip_times.max(2 * nodes.ilog2())
    }

    /// What this node knows of each node, itself included, as numbers.
    fn marks(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(&self.me).chain(self.members()).map(Member::mark)
    }

    /// A number that two nodes that know the same share.
    fn digest(&self) -> u64 {
        self.marks().fold(0, u64::wrapping_add)
    }

    /// A node that twice in a row met others who knew different things compares
    /// notes with one of its region: news that died out on its way, or is too
    /// much for the probes, arrives all the same, at no price between regions.
    fn compare(&mut self, now: u64, from: &str, theirs: u64) {
        if theirs == self.digest() {
            self.differed = 0;
            return;
        }
        self.differed += 1;
        if self.differed >= 2 && now >= self.next_exchange {
            self.differed = 0;
            self.next_exchange = now + self.timing.exchange_every;
            let region = self.me.region.clone();
            let near: Vec<String> = self
                .alive()
                .filter(|m| m.region == region)
                .map(|m| m.address.clone())
                .collect();
            let with = near.choose(&mut self.rng).cloned();
            let with = with.unwrap_or_else(|| from.to_string());
            self.send(with, NoticeKind::Join, 0, String::new());
        }
    }

    /// Changes what this node says of itself; others are told.
    pub fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.me.clone();
        change(&mut self.me);
        if self.me != before {
            self.me.incarnation += 1;
            self.my_tell = self.tells();
            self.changed = true;
            // News of oneself matters at once: a node that leaves is to be
            // left out of answers before it ends.
            let targets: Vec<String> = self.alive().map(|m| m.address.clone()).collect();
            let chosen = targets.choose_multiple(&mut self.rng, self.timing.helpers);
            let chosen: Vec<String> = chosen.cloned().collect();
            for to in chosen {
                self.introduce(&to);
            }
        }
    }

    /// Everybody else who is known and not removed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.others
            .values()
            .map(|e| &e.member)
            .filter(|m| m.standing() != Standing::Dead)
    }

    /// Everybody else who is not even suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|e| &e.member).filter(|m| m.is_alive())
    }

    pub fn get(&self, address: &str) -> Option<&Member> {
        self.others.get(address).map(|e| &e.member)
    }

    /// Smoothed round trip to a node, in ms, if it was ever measured.
    pub fn rtt(&self, address: &str) -> Option<f64> {
        self.rtt.get(address).copied()
    }

    /// Acks that belonged to no probe under way, of this life and of that node.
    pub fn unknown_acks(&self) -> u64 {
        self.unknown_acks
    }

    /// Whether anything was learned since the last [`Board::take_changed`].
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Whether anything was learned since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub fn take_out(&mut self) -> Vec<(String, Notice)> {
        std::mem::take(&mut self.out)
    }

    pub fn tick(&mut self, now: u64) {
        self.watch_probe(now);
        self.age(now);
        if now >= self.next_join {
            self.join(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.timing.probe_every;
            self.probe_next(now);
        }
    }

    /// When the next tick is due: in hundreds of nodes each needless waking of
    /// one is hundreds.
    pub fn next_tick(&self) -> u64 {
        let (wait, limit) = (self.timing.probe_wait, self.timing.probe_limit);
        let due = |p: &Probing| p.at + if p.asked_others { limit } else { wait };
        let waits = self.probing.iter().map(due).min().unwrap_or(u64::MAX);
        self.next_probe.min(self.next_join).min(waits)
    }

    fn join(&mut self, now: u64) {
        let alone = self.alive().next().is_none();
        self.next_join = now
            + if alone {
                self.timing.join_every
            } else {
                self.timing.rejoin_every
            };
        // Alone: all seeds. Later: one seed or removed node that is not alive
        // for us, to mend a split.
        let lost: Vec<String> = self
            .seeds
            .iter()
            .cloned()
            .chain(
                self.others
                    .values()
                    .filter(|e| !e.member.is_alive())
                    .map(|e| e.member.address.clone()),
            )
            .filter(|a| !self.others.get(a).is_some_and(|e| e.member.is_alive()))
            .collect();
        let mut to = lost;
        to.shuffle(&mut self.rng);
        to.truncate(if alone { to.len() } else { 1 });
        for (i, to) in to.into_iter().enumerate() {
            // A table from one is enough: there may be hundreds that start together,
            // over narrow links.
            let kind = if i == 0 || self.me.disk {
                NoticeKind::Join
            } else {
                NoticeKind::Meet
            };
            self.send(to, kind, 0, String::new());
        }
    }

    fn probe_next(&mut self, now: u64) {
        if self.probing.len() >= PROBES {
            return;
        }
        while let Some(target) = self.order.pop() {
            if self
                .others
                .get(&target)
                .is_some_and(|e| e.member.standing() != Standing::Dead)
            {
                self.seq += 1;
                self.probing.push(Probing {
                    target: target.clone(),
                    seq: self.seq,
                    at: now,
                    asked_others: false,
                    helpers: Vec::new(),
                });
                self.send(target, NoticeKind::Probe, self.seq, String::new());
                return;
            }
        }
        self.order = self.members().map(|m| m.address.clone()).collect();
        self.order.shuffle(&mut self.rng);
    }

    fn watch_probe(&mut self, now: u64) {
        let (wait, limit) = (self.timing.probe_wait, self.timing.probe_limit);
        let mut unheard = Vec::new();
        let mut ask = Vec::new();
        self.probing.retain_mut(|p| {
            let waited = now.saturating_sub(p.at);
            if waited >= limit {
                unheard.push(p.target.clone());
            } else if waited >= wait && !p.asked_others {
                p.asked_others = true;
                ask.push((p.target.clone(), p.seq));
            }
            waited < limit
        });
        for target in unheard {
            if let Some(e) = self.others.get(&target).filter(|e| e.member.is_alive()) {
                let mut m = e.member.clone();
                m.standing = Standing::Suspect as i32;
                self.learn(now, m);
            }
        }
        for (target, seq) in ask {
            // Where one is silent others may be: the next is probed at once.
            self.next_probe = now;
            let helpers: Vec<String> = self
                .alive()
                .map(|m| m.address.clone())
                .filter(|a| *a != target)
                .collect();
            let chosen: Vec<String> = helpers
                .choose_multiple(&mut self.rng, self.timing.helpers)
                .cloned()
                .collect();
            if let Some(p) = self.probing.iter_mut().find(|p| p.seq == seq) {
                p.helpers.clone_from(&chosen);
            }
            for helper in chosen {
                self.send(helper, NoticeKind::ProbeFor, seq, target.clone());
            }
        }
    }

    fn age(&mut self, now: u64) {
        let late: Vec<Member> = self
            .others
            .values()
            .filter(|e| {
                e.member.standing() == Standing::Suspect && now.saturating_sub(e.since) >= self.timing.suspect
            })
            .map(|e| e.member.clone())
            .collect();
        for mut m in late {
            m.standing = Standing::Dead as i32;
            self.learn(now, m);
        }
        let forget = self.timing.forget;
        self.others
            .retain(|_, e| e.member.standing() != Standing::Dead || now.saturating_sub(e.since) < forget);
        self.for_others
            .retain(|_, probe| now.saturating_sub(probe.at) < 2000);
    }

    pub fn receive(&mut self, now: u64, from: &str, notice: Notice) {
        let Ok(kind) = NoticeKind::try_from(notice.kind) else {
            return;
        };
        // Whoever takes a removed node for alive is told: it is in no table that
        // the two compare.
        let gone: Vec<Member> = notice
            .members
            .iter()
            .filter(|_| kind == NoticeKind::News)
            .filter_map(|m| self.get(&m.address).filter(|known| known.buries(m)))
            .cloned()
            .collect();
        self.tell(from, &gone);
        for member in notice.members {
            self.learn(now, member);
        }
        match kind {
            NoticeKind::Probe => self.send(from.to_string(), NoticeKind::Ack, notice.seq, String::new()),
            NoticeKind::Ack => {
                self.compare(now, from, notice.digest);
                self.acked(now, from, notice.seq);
            }
            NoticeKind::ProbeFor => {
                self.seq += 1;
                let seq = self.seq;
                let probe = ForOther {
                    to: from.to_string(),
                    seq: notice.seq,
                    target: notice.target.clone(),
                    at: now,
                };
                self.for_others.insert(seq, probe);
                self.send(notice.target, NoticeKind::Probe, seq, String::new());
            }
            NoticeKind::Join => self.tell_missing(from, &notice.known, true),
            NoticeKind::Compare => self.tell_missing(from, &notice.known, false),
            NoticeKind::Meet => self.introduce(from),
            NoticeKind::News => {}
        }
        let asks = matches!(kind, NoticeKind::Join | NoticeKind::Meet);
        if !self.others.get(from).is_some_and(|e| e.member.is_alive()) && !asks {
            // Somebody knows us whom we do not know, or take for gone: after a
            // restart of the seeds nobody else would introduce it.
            self.send(from.to_string(), NoticeKind::Meet, 0, String::new());
        }
    }

    /// An ack has come: it ends the probe of this number if it comes from the node
    /// that was probed, or from one that was asked to probe it as well.
    fn acked(&mut self, now: u64, from: &str, seq: u64) {
        if self.for_others.get(&seq).is_some_and(|p| p.target == from) {
            if let Some(p) = self.for_others.remove(&seq) {
                self.send(p.to, NoticeKind::Ack, p.seq, String::new());
            }
            return;
        }
        let asked = |p: &Probing| p.target == from || p.helpers.iter().any(|h| h == from);
        let Some(at) = self.probing.iter().position(|p| p.seq == seq && asked(p)) else {
            self.unknown_acks += 1;
            return;
        };
        let p = self.probing.swap_remove(at);
        if !p.asked_others {
            let ms = now.saturating_sub(p.at) as f64;
            let rtt = self.rtt.entry(p.target).or_insert(ms);
            *rtt = *rtt * 0.7 + ms * 0.3;
        }
    }

    /// Tells a node of this one.
    fn introduce(&mut self, to: &str) {
        let me = self.me.clone();
        self.tell(to, std::slice::from_ref(&me));
    }

    /// Tells a node what it does not know; and asks it, if it may know more.
    fn tell_missing(&mut self, to: &str, known: &[u64], ask: bool) {
        let known: BTreeSet<u64> = known.iter().copied().collect();
        let mine: BTreeSet<u64> = self.marks().collect();
        let all = std::iter::once(&self.me).chain(self.members());
        let missing: Vec<Member> = all.filter(|m| !known.contains(&m.mark())).cloned().collect();
        self.tell(to, &missing);
        if ask && known.difference(&mine).next().is_some() {
            self.send(to.to_string(), NoticeKind::Compare, 0, String::new());
        }
    }

    fn tell(&mut self, to: &str, all: &[Member]) {
        for part in all.chunks(self.timing.gossip_members) {
            let notice = Notice {
                kind: NoticeKind::News as i32,
                members: part.to_vec(),
                ..Default::default()
            };
            self.out.push((to.to_string(), notice));
        }
    }

    /// Takes in one piece of news, if it is newer than what is known.
    fn learn(&mut self, now: u64, news: Member) {
        if news.address.is_empty() {
            return;
        }
        if news.address == self.me.address {
            let wrong = news.standing() != Standing::Alive || news.id != self.me.id;
            if news.incarnation >= self.me.incarnation && wrong || news.incarnation > self.me.incarnation {
                self.me.incarnation = news.incarnation + 1;
                self.my_tell = self.tells();
            }
            return;
        }
        let fresh = match self.others.get(&news.address) {
            Some(e) => (news.incarnation, news.standing()) > (e.member.incarnation, e.member.standing()),
            None => news.standing() != Standing::Dead,
        };
        if !fresh {
            return;
        }
        if !self.others.contains_key(&news.address) {
            let at = self.rng.gen_range(0..=self.order.len());
            self.order.insert(at, news.address.clone());
        }
        self.changed = true;
        let entry = Entry {
            since: now,
            tell: self.tells(),
            member: news,
        };
        self.others.insert(entry.member.address.clone(), entry);
    }

    fn send(&mut self, to: String, kind: NoticeKind, seq: u64, target: String) {
        let mut members = Vec::new();
        // Whoever does not know us yet, or has us wrong, hears of us first.
        if self.my_tell > 0 || self.others.get(&to).is_none_or(|e| !e.member.is_alive()) {
            self.my_tell = self.my_tell.saturating_sub(1);
            members.push(self.me.clone());
        }
        let mut told = BTreeSet::new();
        let mut ranked: Vec<(&String, u32)> = self
            .others
            .iter()
            .filter(|(_, e)| e.tell > 0)
            .map(|(a, e)| (a, e.tell))
            .collect();
        ranked.sort_by_key(|(_, tell)| std::cmp::Reverse(*tell));
        for (address, _) in ranked.into_iter().take(self.timing.gossip_members - 1) {
            told.insert(address.clone());
        }
        // Whoever is suspected or removed is told, so that it can refute.
        if self.others.get(&to).is_some_and(|e| !e.member.is_alive()) {
            told.insert(to.clone());
        }
        for address in told {
            if let Some(e) = self.others.get_mut(&address) {
                e.tell = e.tell.saturating_sub(1);
                members.push(e.member.clone());
            }
        }
        let digest = if kind == NoticeKind::Ack { self.digest() } else { 0 };
        let known = match kind {
            NoticeKind::Join | NoticeKind::Compare => self.marks().collect(),
            _ => Vec::new(),
        };
        self.out.push((
            to,
            Notice {
                kind: kind as i32,
                seq,
                target,
                members,
                digest,
                known,
            },
        ));
    }
}
