use crate::budget::Budget;
use crate::pool::{Place, Pool};
use crate::trial::{Ledger, Ticket, Trials};
use config::{constants as c, settings::Bounds, warmup_limit, Route, WeightedService};
use control_state::ControlState;
use protocol::{name_hash, Worker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::{Cohort, CohortSample};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// What this node knows of the other nodes, as far as shares depend on it.
#[derive(Clone, Debug)]
pub struct Neighbours {
    pub place: Place,
    /// This node's identity.
    pub me: u64,
    /// Measured round trips to sites, in ms.
    pub rtt: BTreeMap<String, f64>,
}

/// One try of a request, as far as the choice of a worker goes.
pub struct Request<'a> {
    pub route: &'a Route,
    pub key: Option<u32>,
    /// The service drawn for this try by the route's weights.
    pub service: &'a str,
    /// Workers that had this try already.
    pub tried: &'a [String],
    pub left_ms: u64,
    /// The zone whose workers the placement points this request at, where
    /// zones are the sites; without one, the node's own.
    pub zone: Option<&'a str>,
}

/// The worker chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub id: String,
    pub address: String,
    pub region: String,
    pub rtt_ms: f64,
    /// What the try counts for, if its service is being rolled out.
    pub ticket: Option<Ticket>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    Worker(Choice),
    /// Nobody can take it now; when to come back, in ms.
    Nobody(u64),
    /// The retry budget is spent.
    Spent,
}

/// How a try at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observed {
    /// Answered after this many ms.
    Answered(f64),
    /// Answered after this many ms, by an error of the worker's own.
    Erred(f64),
    /// Turned away without being run.
    TurnedAway,
    /// It does not hold the key, or does not say why it is not the one.
    Elsewhere,
    /// Another worker has its address: this one has ended, whatever the list
    /// still shows.
    Gone,
    /// No connection, or none that answered.
    Failed,
    /// It had not answered when the time was up.
    Late,
    /// We gave it up ourselves.
    Abandoned,
}

struct Seat {
    worker: Arc<Worker>,
    region: String,
    cold_seen: u64,
    returned_seen: u64,
    /// It is cold between these times.
    cold_since: u64,
    cold_until: u64,
    /// When it was given requests while cold, as far as they count still.
    cold_sent: VecDeque<u64>,
    /// Where in the pause between two requests this node's turn comes first, as
    /// a part of it: all nodes hear at once that a worker is cold.
    cold_turn: f64,
    inflight: u32,
    answer_ms: f64,
    /// It has answered us before.
    known: bool,
    answered_at: u64,
    failures: u32,
    left_alone_until: u64,
    /// Until when it is preferred less, since it was on the bench.
    trial_until: u64,
    served: u64,
    failed: u64,
    /// Sum of the answer times since the last report, in ms.
    answered_ms: f64,
}

impl Seat {
    /// Takes note that it is cold for so long from now.
    fn cool(&mut self, now: u64, for_ms: u64) {
        if now >= self.cold_until {
            self.cold_since = now;
        }
        self.cold_until = self.cold_until.max(now + for_ms);
    }

    fn is_cold(&self, now: u64) -> bool {
        now < self.cold_until
    }

    /// Whether it is this node's turn at a cold worker, of which each comes
    /// after `gap` ms.
    fn has_turn(&self, now: u64, gap: f64) -> bool {
        let due = match self.cold_sent.back() {
            Some(last) if *last > self.cold_since => *last as f64 + gap,
            _ => self.cold_since as f64 + gap * self.cold_turn,
        };
        now as f64 >= due
    }

    /// Requests of the last while: what is sent now may arrive within the same
    /// second as they.
    fn sent_while_cold(&self, now: u64) -> usize {
        let recent = |at: &&u64| **at + c::WARMUP_WINDOW_MS > now;
        self.cold_sent.iter().filter(recent).count()
    }

    /// Takes in what the control state says of its being cold.
    fn take_cold(&mut self, now: u64, stage: &ControlState) {
        let worker = self.worker.clone();
        let returned = stage.ended_evacuations.get(&worker.zone).copied().unwrap_or(0);
        if worker.warmup_index != self.cold_seen {
            self.cold_seen = worker.warmup_index;
            if worker.warmup_ms > 0 {
                self.cool(now, worker.warmup_ms + c::WARMUP_MARGIN_MS);
            } else if !stage.is_warmup_unknown(&worker) {
                self.cold_until = now;
            }
        }
        // Workers of a zone that was taken back are cold at first.
        if returned > self.returned_seen {
            self.returned_seen = returned;
            if stage.is_warmup_unknown(&worker) {
                let cold_ms = stage.restored_zone_warmup_ms(&worker.service);
                self.cool(now, cold_ms + c::WARMUP_MARGIN_MS);
            }
        }
    }
}

pub struct LoadBalancer {
    zone: String,
    region: String,
    zones: BTreeMap<String, String>,
    bounds: Bounds,
    neighbours: Neighbours,
    stage: Arc<ControlState>,
    seats: HashMap<String, Seat>,
    by_service: HashMap<String, Vec<String>>,
    /// Which workers of a service this node uses; made when first needed.
    pools: HashMap<(String, Cohort), Rc<Pool>>,
    /// Requests of the services that are being rolled out.
    ledgers: HashMap<String, Ledger>,
    trials: Trials,
    /// When the core was last heard; `None` where that plays no part.
    contact: Option<u64>,
    budgets: HashMap<String, Budget>,
    rng: SmallRng,
    /// When this life first saw the control state.
    born: Option<u64>,
}

impl LoadBalancer {
    pub fn new(zone: &str, zones: BTreeMap<String, String>, bounds: Bounds, seed: u64) -> LoadBalancer {
        LoadBalancer {
            region: zones.get(zone).cloned().unwrap_or_default(),
            zone: zone.to_string(),
            zones,
            bounds,
            neighbours: Neighbours {
                place: Place {
                    edges: 1,
                    in_zone: 1,
                    ..Default::default()
                },
                me: 0,
                rtt: BTreeMap::new(),
            },
            stage: Arc::default(),
            seats: HashMap::new(),
            by_service: HashMap::new(),
            pools: HashMap::new(),
            ledgers: HashMap::new(),
            trials: Trials::default(),
            contact: None,
            budgets: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            born: None,
        }
    }

    pub fn set_neighbours(&mut self, neighbours: Neighbours) {
        if self.neighbours.place != neighbours.place {
            self.pools.clear();
        }
        self.neighbours = neighbours;
    }

    /// Takes a newer copy of the control state; returns the workers that are
    /// gone. What has not changed costs nothing.
    pub fn set_stage(&mut self, now: u64, stage: Arc<ControlState>) -> Vec<String> {
        self.born.get_or_insert(now);
        let before = std::mem::replace(&mut self.stage, stage.clone());
        let same_config = match (&before.configuration, &stage.configuration) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if !same_config || !Arc::ptr_eq(&before.rollouts, &stage.rollouts) {
            self.pools.clear();
        }
        let mut gone = Vec::new();
        if !Arc::ptr_eq(&before.workers, &stage.workers) || self.seats.is_empty() {
            gone = self.take_workers(now, &stage);
        }
        if before.ended_evacuations != stage.ended_evacuations {
            for seat in self.seats.values_mut() {
                seat.take_cold(now, &stage);
            }
        }
        if !Arc::ptr_eq(&before.ejected, &stage.ejected) {
            for id in before.ejected.difference(&stage.ejected) {
                if let Some(seat) = self.seats.get_mut(id) {
                    seat.trial_until = now + c::PROBATION_MS;
                    seat.failures = 0;
                }
            }
        }
        gone
    }

    fn take_workers(&mut self, now: u64, stage: &ControlState) -> Vec<String> {
        let gone: Vec<String> = self
            .seats
            .keys()
            .filter(|id| !stage.workers.contains_key(*id))
            .cloned()
            .collect();
        for id in &gone {
            self.seats.remove(id);
        }
        let mut means: HashMap<&str, f64> = HashMap::new();
        let mut rng = self.rng.clone();
        for (id, worker) in stage.workers.iter() {
            if self.seats.get(id).is_some_and(|s| Arc::ptr_eq(&s.worker, worker)) {
                continue;
            }
            let region = self.zones.get(&worker.zone).cloned().unwrap_or_default();
            let mean = match means.get(worker.service.as_str()) {
                Some(mean) => *mean,
                None => self.mean_answer(&worker.service),
            };
            means.insert(&worker.service, mean);
            let seat = self.seats.entry(id.clone()).or_insert_with(|| Seat {
                worker: worker.clone(),
                region,
                cold_seen: 0,
                returned_seen: 0,
                cold_since: 0,
                cold_until: 0,
                cold_sent: VecDeque::new(),
                cold_turn: rng.gen(),
                inflight: 0,
                answer_ms: mean,
                known: false,
                answered_at: now,
                failures: 0,
                left_alone_until: 0,
                trial_until: 0,
                served: 0,
                failed: 0,
                answered_ms: 0.0,
            });
            seat.worker = worker.clone();
            seat.take_cold(now, stage);
        }
        self.rng = rng;
        self.by_service.clear();
        self.pools.clear();
        for (id, seat) in &self.seats {
            self.by_service
                .entry(seat.worker.service.clone())
                .or_default()
                .push(id.clone());
        }
        for ids in self.by_service.values_mut() {
            ids.sort_unstable();
        }
        gone
    }

    /// The core was last heard then: a node that has lost it restores the split
    /// from before a rollout by itself.
    pub fn set_contact(&mut self, at: u64) {
        self.contact = Some(at);
    }

    /// The workers of one side of a service that this node uses.
    fn pool(&mut self, service: &str, side: Cohort) -> Option<Rc<Pool>> {
        let key = (service.to_string(), side);
        if let Some(pool) = self.pools.get(&key) {
            return Some(pool.clone());
        }
        let known = self.stage.service(service)?;
        let of = self.by_service.get(service)?.iter();
        let all = of.filter_map(|id| self.seats.get(id).map(|s| s.worker.clone()));
        let workers: Vec<Arc<Worker>> = if side == Cohort::New {
            let mut trial: Vec<_> = self.stage.canary_workers(service).into_iter().cloned().collect();
            trial.sort_by(|a, b| a.id.cmp(&b.id));
            trial
        } else {
            all.filter(|w| known.partitioned || self.stage.cohort(w) == side)
                .collect()
        };
        let pool = Rc::new(Pool::new(
            &workers,
            &self.zone,
            known.connection_limit,
            known.partitioned,
            self.neighbours.place,
        ));
        self.pools.insert(key, pool.clone());
        Some(pool)
    }

    fn mean_answer(&self, service: &str) -> f64 {
        let known: Vec<f64> = self
            .seats
            .values()
            .filter(|s| s.worker.service == service && s.known)
            .map(|s| s.answer_ms)
            .collect();
        if known.is_empty() {
            c::DEFAULT_RESPONSE_MS
        } else {
            known.iter().sum::<f64>() / known.len() as f64
        }
    }

    /// Draws one of a route's services by weight.
    pub fn draw_service(&mut self, route: &Route) -> Arc<str> {
        let total: f64 = route.split.iter().map(|s| s.weight).sum();
        let mut left = self.rng.gen::<f64>() * total;
        for WeightedService { service, weight } in &route.split {
            left -= weight;
            if left < 0.0 && *weight > 0.0 {
                return service.clone();
            }
        }
        let last = route.split.iter().rev().find(|s| s.weight > 0.0);
        last.map_or_else(|| "".into(), |s| s.service.clone())
    }

    /// Chooses a worker and counts the try against it. The first try of a
    /// request is free, further ones are charged to the budget.
    pub fn choose(&mut self, now: u64, request: &Request) -> Found {
        let window = self.bounds.retry_window.ms;
        if request.tried.is_empty() {
            self.budgets
                .entry(request.service.to_string())
                .or_default()
                .first_try(now, window);
        }
        let side = self.side_for(now, request);
        let found = match self.candidate(now, request, side) {
            Some(id) => id,
            None => return Found::Nobody(self.come_back(now, request)),
        };
        if !request.tried.is_empty() {
            let named = self.stage.retry_allowances.contains(&self.neighbours.me);
            let slack = if named { self.stage.retry_slack } else { 0.0 };
            let ratio = self.bounds.retry_ratio * c::RETRY_BUDGET_PART;
            let budget = self.budgets.entry(request.service.to_string()).or_default();
            if !budget.further_try(now, window, ratio, slack) {
                return Found::Spent;
            }
        }
        let rtt = self.rtt(&found);
        let ticket = self.ticket(now, request, &found);
        let Some(seat) = self.seats.get_mut(&found) else {
            return Found::Nobody(c::RETRY_AFTER_MS);
        };
        seat.inflight += 1;
        if seat.is_cold(now) {
            while seat.cold_sent.len() > c::WARMUP_MAX_SHARES {
                seat.cold_sent.pop_front();
            }
            seat.cold_sent.push_back(now);
        }
        Found::Worker(Choice {
            id: found,
            address: seat.worker.address.clone(),
            region: seat.region.clone(),
            rtt_ms: rtt,
            ticket,
        })
    }

    /// Which side of its service a request goes to. Only a first try goes to a new
    /// version. While a stage lies within what a bad version may get, this node
    /// sends it no more than that part of what it has had itself: the sum over
    /// all nodes is within it, whatever each of them has seen.
    fn side_for(&mut self, now: u64, request: &Request) -> Cohort {
        let rollout = self.stage.rollouts.get(request.service);
        let Some(p) = rollout.filter(|p| p.is_active()).cloned() else {
            return Cohort::Old;
        };
        if !request.tried.is_empty() {
            return Cohort::Old;
        }
        let lost = self.contact.is_some_and(|at| now > at + rollout::FALLBACK_MS);
        let share = if lost { 0.0 } else { p.share() };
        let drawn = share > 0.0 && (share >= 1.0 || self.rng.gen::<f64>() < share);
        let most = self.bounds.exposure_share;
        let bound = (share <= most).then_some(most);
        let ledger = self.ledgers.entry(request.service.to_string()).or_default();
        ledger.begin(p.created_index);
        if request.key.is_none() && drawn && ledger.may_try_new(bound) {
            Cohort::New
        } else {
            Cohort::Old
        }
    }

    /// What a try counts for. Cold workers say nothing about their version.
    fn ticket(&mut self, now: u64, request: &Request, id: &str) -> Option<Ticket> {
        let p = self.stage.rollouts.get(request.service)?;
        let seat = self.seats.get(id)?;
        let side = p.cohort(&seat.worker.version);
        if !p.is_active() {
            return None;
        }
        if let Some(ledger) = self.ledgers.get_mut(request.service) {
            ledger.sent(request.tried.is_empty(), side == Cohort::New);
        }
        (!seat.is_cold(now)).then(|| Ticket {
            service: name_hash(request.service),
            route: name_hash(&request.route.name),
            new: side == Cohort::New,
            ordered: p.created_index,
        })
    }

    fn rtt(&self, id: &str) -> f64 {
        let Some(seat) = self.seats.get(id) else {
            return 0.0;
        };
        if seat.region == self.region {
            c::LOCAL_RTT_MS
        } else {
            self.neighbours
                .rtt
                .get(&seat.region)
                .copied()
                .unwrap_or(c::DEFAULT_RTT_MS)
        }
    }

    /// Whether a worker may be given a request as far as its being cold goes.
    /// Only the nodes of its cast use a cold worker. Each has so many shares that
    /// all together stay within the bound, whenever they are used; it spaces its
    /// requests so that they come to what the worker bears in the long run.
    fn may_while_cold(&self, now: u64, seat: &Seat) -> bool {
        if !seat.is_cold(now) {
            return true;
        }
        // Who has just begun does not know what its last life has sent.
        if self.born.is_none_or(|born| now < born + c::WARMUP_WINDOW_MS) {
            return false;
        }
        let Some(cast) = self.stage.warmup_nodes(&seat.worker) else {
            return false;
        };
        if !cast.contains(&self.neighbours.me) {
            return false;
        }
        let service = self.stage.service(&seat.worker.service);
        let shares = warmup_limit(service, &self.bounds) / cast.len();
        // Without a figure, one a second.
        let rate = service.map_or(0.0, |s| s.warmup_rate);
        let rate = c::WARMUP_PART * if rate > 0.0 { rate } else { 1.0 };
        let gap = 1000.0 * cast.len() as f64 / rate;
        seat.sent_while_cold(now) < shares.min(c::WARMUP_MAX_SHARES) && seat.has_turn(now, gap)
    }

    /// Whether a worker may be given a request at all.
    fn may(&self, seat: &Seat, each: u32, request: &Request) -> bool {
        let w = &seat.worker;
        let homes = &request.route.home_regions;
        !w.draining
            && !self.stage.evacuated.contains_key(&w.zone)
            && (homes.is_empty() || homes.contains(&seat.region))
            && !request.tried.contains(&w.id)
            && seat.inflight < each
    }

    fn candidate(&mut self, now: u64, request: &Request, side: Cohort) -> Option<String> {
        if side == Cohort::New {
            if let Some(id) = self.best_of(now, request, Cohort::New) {
                return Some(id);
            }
        }
        self.best_of(now, request, Cohort::Old)
    }

    fn best_of(&mut self, now: u64, request: &Request, side: Cohort) -> Option<String> {
        let pool = self.pool(request.service, side)?;
        if let Some(key) = request.key {
            let holding = self.stage.key_lease(request.service, key)?;
            if holding.revoking || holding.worker.is_empty() {
                return None;
            }
            let seat = self.seats.get(&holding.worker)?;
            if self.stage.cohort(&seat.worker) == Cohort::Excluded {
                return None;
            }
            let each = pool.members.first().map_or(1, |(_, each)| *each);
            let free =
                (now >= seat.left_alone_until || seat.inflight == 0) && !self.hopeless(seat, request, &pool);
            let may = free && self.may(seat, each, request) && self.may_while_cold(now, seat);
            return may.then(|| holding.worker.clone());
        }
        let mut best: Option<(f64, &Arc<Worker>)> = None;
        let mut spare: Option<&Arc<Worker>> = None;
        for (worker, each) in &pool.members {
            let Some(seat) = self.seats.get(&worker.id) else {
                continue;
            };
            let may = self.may(seat, *each, request) && self.may_while_cold(now, seat);
            if !may || self.hopeless(seat, request, &pool) {
                continue;
            }
            if now < seat.left_alone_until || self.stage.ejected.contains(&worker.id) {
                // A worker left alone is tried only when there is no other.
                if seat.inflight == 0 && spare.is_none() {
                    spare = Some(worker);
                }
                continue;
            }
            let mut cost = self.cost(seat, request, &pool) * self.rng.gen_range(0.95..1.05);
            if now < seat.trial_until {
                let left = (seat.trial_until - now) as f64 / c::PROBATION_MS as f64;
                cost *= 1.0 + (c::PROBATION_COST - 1.0) * left;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, worker));
            }
        }
        best.map(|(_, w)| w).or(spare).map(|w| w.id.clone())
    }

    /// When a worker is expected to answer, in ms, as far as this node sees.
    fn expected(&self, seat: &Seat, pool: &Pool) -> f64 {
        let load = f64::from(seat.inflight) * pool.sharers;
        let used = load / f64::from(seat.worker.slots.max(1));
        seat.answer_ms * (1.0 + 0.3 * used + (used - 1.0).max(0.0))
    }

    /// Whether a request has any prospect of being answered in time there. The
    /// less its rank, the sooner it makes room.
    fn hopeless(&self, seat: &Seat, request: &Request, pool: &Pool) -> bool {
        let patience =
            c::DEADLINE_SLACK_FACTOR / (1.0 + c::PRIORITY_STEP * f64::from(request.route.priority));
        self.expected(seat, pool) > patience * request.left_ms as f64
    }

    /// What sending a request there costs, in ms: the expected answer time and
    /// a price for leaving the zone or the region.
    fn cost(&self, seat: &Seat, request: &Request, pool: &Pool) -> f64 {
        let answer = self.expected(seat, pool);
        let aim = request.route.target_ms as f64;
        let distance = if seat.worker.zone == request.zone.unwrap_or(&self.zone) {
            0.0
        } else if seat.region == self.region {
            c::LOCAL_RTT_MS + c::ZONE_PENALTY * aim
        } else {
            let rtt = self
                .neighbours
                .rtt
                .get(&seat.region)
                .copied()
                .unwrap_or(c::DEFAULT_RTT_MS);
            rtt + c::REGION_PENALTY * aim
        };
        answer + distance
    }

    /// When a refused client should come back.
    fn come_back(&self, now: u64, request: &Request) -> u64 {
        if let Some(key) = request.key {
            let holding = self.stage.key_lease(request.service, key);
            let seat = holding.and_then(|h| self.seats.get(&h.worker));
            return match (holding, seat) {
                (Some(h), Some(_)) if h.revoking => c::RETRY_AFTER_HANDOVER_MS,
                (_, Some(seat)) if seat.failures == 0 => c::RETRY_AFTER_MS,
                _ => c::RETRY_AFTER_HOLDER_LOST_MS,
            };
        }
        let soonest = self
            .by_service
            .get(request.service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.seats.get(id))
            .filter(|s| s.left_alone_until > now)
            .map(|s| s.left_alone_until - now)
            .min();
        soonest.unwrap_or(c::RETRY_AFTER_MS).clamp(50, c::RETRY_AFTER_MS)
    }

    /// What was counted of services that are being rolled out, since the last call.
    pub fn take_trials(&mut self) -> Vec<CohortSample> {
        self.trials.take()
    }

    /// Takes note of how a try ended that counts for a rollout.
    pub fn observe_trial(&mut self, ticket: &Ticket, observed: Observed) {
        let going = |p: &Arc<rollout::Rollout>| p.is_active() && p.created_index == ticket.ordered;
        if self.stage.rollouts.values().any(going) {
            self.trials.note(ticket, observed);
        }
    }

    /// Takes note of how a try ended.
    pub fn observe(&mut self, now: u64, id: &str, observed: Observed) {
        let Some(seat) = self.seats.get_mut(id) else {
            return;
        };
        seat.inflight = seat.inflight.saturating_sub(1);
        match observed {
            Observed::Answered(ms) => {
                seat.failures = 0;
                seat.left_alone_until = 0;
                seat.served += 1;
                seat.known = true;
                seat.answered_ms += ms;
                seat.answered_at = now;
                seat.answer_ms += (ms - seat.answer_ms) * c::RESPONSE_SMOOTHING;
            }
            Observed::Erred(ms) => {
                seat.known = true;
                seat.answered_at = now;
                seat.answer_ms += (ms - seat.answer_ms) * c::RESPONSE_SMOOTHING;
                seat.failed += 1;
                seat.failures += 1;
                if seat.failures > 1 {
                    seat.left_alone_until = seat.left_alone_until.max(now + c::LOCAL_EJECTION_MS);
                }
            }
            Observed::Late => seat.failed += 1,
            Observed::Gone => {
                seat.failed += 1;
                seat.left_alone_until = seat.left_alone_until.max(now + c::REUSED_ADDRESS_MS);
            }
            Observed::TurnedAway => {
                seat.left_alone_until = seat.left_alone_until.max(now + c::OVERLOAD_PAUSE_MS);
            }
            Observed::Failed => {
                seat.failures += 1;
                seat.failed += 1;
                let pause =
                    (c::LOCAL_EJECTION_MS << (seat.failures - 1).min(4)).min(c::LOCAL_EJECTION_MAX_MS);
                seat.left_alone_until = seat.left_alone_until.max(now + pause);
            }
            Observed::Elsewhere | Observed::Abandoned => {}
        }
    }

    /// Lets what was measured long ago fade, so that a worker with one bad
    /// answer is tried again.
    pub fn sweep(&mut self, now: u64) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            let mean = self.mean_answer(&service);
            for id in &self.by_service[&service] {
                if let Some(seat) = self.seats.get_mut(id) {
                    if now.saturating_sub(seat.answered_at) > 1000 {
                        seat.answer_ms += (mean - seat.answer_ms) * 0.2;
                    }
                }
            }
        }
    }

    /// What was observed of the workers since the last call: worker, mean
    /// answer time, answers, failures.
    pub fn take_observed(&mut self) -> Vec<(String, f64, u64, u64)> {
        self.seats
            .iter_mut()
            .filter(|(_, s)| s.served + s.failed > 0)
            .map(|(id, s)| {
                let mean = s.answered_ms / s.served.max(1) as f64;
                let row = (id.clone(), mean, s.served, s.failed);
                (s.served, s.failed, s.answered_ms) = (0, 0, 0.0);
                row
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use protocol::*;

    const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
        "AccessPoints":[{"Host":"h","Rules":[
          {"Name":"free","RouteType":"idempotent","Target":"300ms","Condition":{"PathPrefix":"/a/"},"Treatment":{"Service":"s","Timeout":"2s","AttemptLimit":2}},
          {"Name":"home","RouteType":"non_idempotent","Target":"300ms","Condition":{"PathPrefix":"/b/"},"Treatment":{"Service":"s","Timeout":"2s","HomeRegions":["far"]}}]}],
        "Groups":[{"Name":"s","ConnectionLimit":40,"ColdPeriod":"3s","ColdRateS":6.0}]}"#;

    fn stage(workers: &[(&str, &str, u64)]) -> ControlState {
        let mut stage = ControlState::default();
        let order = ConfigurationCommand {
            base: 0,
            body: CONFIG.into(),
            ..Default::default()
        };
        stage.apply(1, &Change::encode(ChangeKind::Replace(order)));
        let put = workers
            .iter()
            .map(|(id, zone, cold_ms)| Worker {
                id: id.to_string(),
                service: "s".into(),
                zone: zone.to_string(),
                slots: 6,
                warmup_ms: *cold_ms,
                warmup_group: 1,
                ..Default::default()
            })
            .collect();
        let casts = vec![WarmupGroup {
            number: 1,
            nodes: vec![7, 8, 9],
        }];
        let change = WorkersChange {
            put,
            warmup_groups: casts,
            ..Default::default()
        };
        stage.apply(2, &Change::encode(ChangeKind::Workers(change)));
        stage
    }

    fn balancer(stage: &ControlState) -> LoadBalancer {
        let zones = [("z1", "near"), ("z2", "near"), ("z3", "far")];
        let zones = zones
            .iter()
            .map(|(z, r)| (z.to_string(), r.to_string()))
            .collect();
        let bounds = Bounds {
            retry_ratio: 0.2,
            cold_excess: 1.5,
            cold_slack: 5.0,
            ..Default::default()
        };
        let mut balancer = LoadBalancer::new("z1", zones, bounds, 1);
        balancer.set_stage(0, Arc::new(stage.clone()));
        balancer.set_neighbours(Neighbours {
            place: Place {
                edges: 3,
                in_zone: 3,
                ..Default::default()
            },
            me: 7,
            rtt: BTreeMap::new(),
        });
        balancer
    }

    fn pick(
        balancer: &mut LoadBalancer,
        stage: &ControlState,
        path: &str,
        now: u64,
        tried: &[String],
    ) -> Found {
        let config = stage.configuration.clone().expect("config");
        let route = config.route("h", path).expect("route");
        balancer.choose(
            now,
            &Request {
                route,
                key: None,
                service: "s",
                tried,
                left_ms: 2000,
                zone: None,
            },
        )
    }

    fn id(found: &Found) -> &str {
        match found {
            Found::Worker(c) => &c.id,
            _ => "",
        }
    }

    #[test]
    fn the_own_zone_first_then_the_region_and_homes_bind() {
        let stage = stage(&[("own", "z1", 0), ("next", "z2", 0), ("far", "z3", 0)]);
        let mut u = balancer(&stage);
        assert_eq!(id(&pick(&mut u, &stage, "/a/", 0, &[])), "own");
        assert_eq!(id(&pick(&mut u, &stage, "/b/", 0, &[])), "far");
        for _ in 0..3 {
            pick(&mut u, &stage, "/a/", 0, &[]);
        }
        assert_eq!(
            id(&pick(&mut u, &stage, "/a/", 0, &[])),
            "next",
            "the own zone is busy"
        );
    }

    #[test]
    fn evacuated_draining_and_failing_workers_get_nothing() {
        let mut stage = stage(&[("own", "z1", 0), ("next", "z2", 0)]);
        let mut u = balancer(&stage);
        assert_eq!(id(&pick(&mut u, &stage, "/a/", 0, &[])), "own");
        u.observe(10, "own", Observed::Failed);
        assert_eq!(id(&pick(&mut u, &stage, "/a/", 20, &[])), "next");
        stage.apply(
            3,
            &Change::encode(ChangeKind::Evacuate(EvacuationChange {
                zone: "z2".into(),
                begin: true,
            })),
        );
        u.set_stage(20, Arc::new(stage.clone()));
        assert_eq!(
            id(&pick(&mut u, &stage, "/a/", 5000, &[])),
            "own",
            "left alone for a time only"
        );
        let mut w = (*stage.workers["own"]).clone();
        w.draining = true;
        stage.apply(
            4,
            &Change::encode(ChangeKind::Workers(WorkersChange {
                put: vec![w],
                removed: vec![],
                ..Default::default()
            })),
        );
        u.set_stage(20, Arc::new(stage.clone()));
        assert!(matches!(pick(&mut u, &stage, "/a/", 5000, &[]), Found::Nobody(_)));
    }

    #[test]
    fn all_nodes_of_a_zone_together_keep_a_cold_worker_within_its_rate() {
        let stage = stage(&[("cold", "z1", 60_000)]);
        let mut nodes: Vec<LoadBalancer> = (0..5).map(|_| balancer(&stage)).collect();
        for (me, u) in (6..).zip(&mut nodes) {
            u.neighbours.me = me;
        }
        let mut sent = Vec::new();
        for now in (0..10_000).step_by(10) {
            for u in &mut nodes {
                if let Found::Worker(_) = pick(u, &stage, "/a/", now, &[]) {
                    assert!((7..=9).contains(&u.neighbours.me), "only its cast");
                    assert!(now >= c::WARMUP_WINDOW_MS, "nobody who has just begun");
                    sent.push(now);
                    u.observe(now, "cold", Observed::Answered(50.0));
                }
            }
        }
        let most = sent
            .iter()
            .map(|t| sent.iter().filter(|s| **s >= *t && **s < t + 1000).count())
            .max();
        assert!(most <= Some(6 * 3 / 2 + 5), "{most:?}");
        assert!(sent.len() > 30, "and it is not starved: {}", sent.len());
    }

    #[test]
    fn a_request_without_prospect_is_refused_at_once() {
        let stage = stage(&[("own", "z1", 0)]);
        let mut u = balancer(&stage);
        let config = stage.configuration.clone().expect("config");
        let route = config.route("h", "/a/").expect("route");
        let mut ask = |left_ms| {
            u.choose(
                0,
                &Request {
                    route,
                    key: None,
                    service: "s",
                    tried: &[],
                    left_ms,
                    zone: None,
                },
            )
        };
        assert!(matches!(ask(20), Found::Nobody(_)), "workers take 100 ms");
        assert_eq!(id(&ask(200)), "own");
    }

    #[test]
    fn who_waits_for_a_key_is_told_how_long() {
        let mut stage = stage(&[("own", "z1", 0)]);
        let hold = |leaving| KeyLease {
            service: "s".into(),
            to: 9,
            worker: "own".into(),
            fencing_token: 1,
            revoking: leaving,
            ..Default::default()
        };
        let mut after = |leaving: bool, failed: bool| {
            let put = vec![hold(leaving)];
            let index = stage.index + 1;
            stage.apply(
                index,
                &Change::encode(ChangeKind::KeyLeases(KeyLeaseChange { put })),
            );
            let mut u = balancer(&stage);
            let config = stage.configuration.clone().expect("config");
            let route = config.route("h", "/a/").expect("route");
            let ask = Request {
                route,
                key: Some(3),
                service: "s",
                tried: &[],
                left_ms: 2000,
                zone: None,
            };
            for _ in 0..2 {
                // The second of two tries at once is the one that is refused.
                if failed && matches!(u.choose(0, &ask), Found::Worker(_)) {
                    u.observe(0, "own", Observed::Failed);
                    u.choose(0, &ask);
                }
            }
            u.choose(0, &ask)
        };
        assert_eq!(id(&after(false, false)), "own");
        assert_eq!(after(true, false), Found::Nobody(c::RETRY_AFTER_HANDOVER_MS));
        assert_eq!(after(false, true), Found::Nobody(c::RETRY_AFTER_HOLDER_LOST_MS));
    }

    #[test]
    fn a_worker_whose_address_went_to_another_draws_nothing_more() {
        let stage = stage(&[("own", "z1", 0), ("next", "z1", 0)]);
        let mut u = balancer(&stage);
        for t in 0..100 {
            // It answers at once that it is not the one: never the quickest.
            let found = pick(&mut u, &stage, "/a/", t, &[]);
            if id(&found) == "own" {
                assert!(t < 20, "still drawn at {t}");
                u.observe(t, "own", Observed::Gone);
            } else {
                u.observe(t, "next", Observed::Answered(100.0));
            }
        }
    }

    #[test]
    fn a_returned_zone_is_taken_for_cold() {
        let mut stage = stage(&[("own", "z1", 0), ("next", "z2", 0)]);
        let mut u = balancer(&stage);
        for (i, begin) in [(3, true), (4, false)] {
            stage.apply(
                i,
                &Change::encode(ChangeKind::Evacuate(EvacuationChange {
                    zone: "z2".into(),
                    begin,
                })),
            );
        }
        u.set_stage(100, Arc::new(stage.clone()));
        let tried = vec!["own".to_string()];
        for t in 0..50 {
            pick(&mut u, &stage, "/a/", t, &[]);
        }
        assert!(
            matches!(pick(&mut u, &stage, "/a/", 200, &tried), Found::Nobody(_)),
            "cold, and nobody is named"
        );
        assert_eq!(id(&pick(&mut u, &stage, "/a/", 5000, &tried)), "next");
    }
}
