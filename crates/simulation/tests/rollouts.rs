//! Runs rollouts on simulated time, with proxies, workers of two versions, the log, the watchdog
//! and faults. Each line of a scenario is one step:
//!
//! ```text
//! nodes 60 | workers 30 | rate 500        proxies, workers of each version, requests per second
//! new-version good|errors|slow|late MS|under-load|one-route    behaviour of the new version
//! begin 14000                             creates the rollout; also `begin-other` for another version
//! run 2000
//! lose-leader                             the leader is lost; another one leads after 900 ms
//! core-cut 4000                           no node can reach the core
//! cut 0.4 3000 | restart-nodes 0.6 1000            a fraction of the nodes is cut off, or restarts
//! region-loss 3000                        the workers of a zone do not answer
//! add-nodes 20 | change-configuration 30                       nodes join; changes of the configuration
//! evacuate z1 | finish z1
//! operator pause|resume|promote|rollback|cancel ; kill-switch on|off
//! expect in_progress|completed|reverted | expect phase PAUSED | expect refused
//! ```
//!
//! At the end of each scenario: a bad version has received no more than its share of requests and
//! has lost its traffic in time, and a completed rollout has ended on all nodes.

use balancer::{AttemptResult, LoadBalancer, Locality, PeerInfo, SampleLabel, Selection, SelectionRequest};
use config::settings::Bounds;
use control_state::{ControlState, Outcome};
use protocol::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::{
    Action, Cohort, CohortSample, Conditions, Create, EmergencyLevel, EmergencyTracker, RolloutChange, State,
    Watchdog,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const CONFIG: &str = r#"{"Version":VERSION,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[{"Host":"h","Rules":[
      {"Name":"most","RouteType":"idempotent","Target":"600ms","Condition":{"PathPrefix":"/a/"},"Treatment":{"Service":"s","Timeout":"4s","AttemptLimit":2}},
      {"Name":"some","RouteType":"idempotent","Target":"600ms","Condition":{"PathPrefix":"/b/"},"Treatment":{"Service":"s","Timeout":"4s","AttemptLimit":2}}]}],
    "Groups":[{"Name":"s","ConnectionLimit":500,"ColdPeriod":"3s","ColdRateS":6.0}]}"#;
const STEP_MS: u64 = 20;
const ZONES: u64 = 3;
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ROLLBACK_MS: u64 = 5000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Good,
    Errors,
    Slow,
    Late(u64),
    UnderLoad,
    OneRoute,
}

struct Node {
    id: u64,
    zone: u64,
    balancer: LoadBalancer,
    seen: usize,
    lag_ms: u64,
    up_at: u64,
    cut_until: u64,
    last_contact_at: u64,
}

#[derive(Default)]
struct SimulatedWorker {
    zone: u64,
    new: bool,
    inflight: u32,
    started: u64,
    speed: f64,
}

/// A request in flight, with the time at which it ends, its node and its worker.
struct InFlight {
    at: u64,
    node: usize,
    node_id: u64,
    worker: String,
    label: Option<SampleLabel>,
    end: AttemptResult,
}

struct Fleet {
    now: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    workers: BTreeMap<String, SimulatedWorker>,
    log: Vec<(u64, Arc<ControlState>)>,
    in_flight: Vec<InFlight>,
    reports: Vec<(u64, Vec<CohortSample>, u64, u64)>,
    watchdog: Watchdog,
    /// The watchdog of another voter, which only follows the log.
    standby: Watchdog,
    emergency: EmergencyTracker,
    reported_at: u64,
    leader_from: u64,
    core_cut_until: u64,
    unsettled_at: u64,
    unreachable_zone: Option<(u64, u64)>,
    kind: Kind,
    rate: f64,
    next_id: u64,
    created_at: u64,
    ends_at: u64,
    /// Requests that reached the service between the creation and the end of the rollout.
    all: u64,
    /// Requests that reached the new version in the same time.
    new: u64,
    bad_answers: u64,
    fiftieth_at: Option<u64>,
    late_sends: u64,
    /// Requests that a node without contact to the core sent to the new version before the rollout
    /// ended.
    lost_sends: u64,
    old_after_end: u64,
    ended_at: u64,
    refused: Option<String>,
    version: u64,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 10_000,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            workers: BTreeMap::new(),
            log: vec![(0, Arc::new(ControlState::default()))],
            in_flight: Vec::new(),
            reports: Vec::new(),
            watchdog: Watchdog::default(),
            standby: Watchdog::default(),
            emergency: EmergencyTracker::default(),
            reported_at: 0,
            leader_from: 0,
            core_cut_until: 0,
            unsettled_at: 0,
            unreachable_zone: None,
            kind: Kind::Good,
            rate: 500.0,
            next_id: 0,
            created_at: 0,
            ends_at: u64::MAX,
            all: 0,
            new: 0,
            bad_answers: 0,
            fiftieth_at: None,
            late_sends: 0,
            lost_sends: 0,
            old_after_end: 0,
            ended_at: 0,
            refused: None,
            version: 0,
        };
        fleet.configure();
        fleet
    }

    fn state(&self) -> Arc<ControlState> {
        self.log[self.log.len() - 1].1.clone()
    }

    fn change(&mut self, kind: ChangeKind) -> Outcome {
        let mut state = (*self.state()).clone();
        let outcome = state.apply(state.index + 1, &Change::encode(kind));
        self.log.push((self.now, Arc::new(state)));
        outcome
    }

    fn configure(&mut self) {
        let base = self.version;
        self.version += 1;
        let body = CONFIG.replace("VERSION", &self.version.to_string()).into();
        let command = ConfigurationCommand {
            base,
            body,
            ..Default::default()
        };
        assert_eq!(self.change(ChangeKind::Replace(command)), Outcome::Applied);
    }

    fn bounds() -> Bounds {
        Bounds {
            retry_ratio: 0.2,
            retry_slack: 100.0,
            exposure_share: SHARE,
            exposure_slack: SLACK,
            cold_excess: 1.5,
            cold_slack: 8.0,
            ..Default::default()
        }
    }

    fn add_nodes(&mut self, count: u64) {
        for i in 0..count {
            let node = self.node(i % ZONES);
            self.nodes.push(node);
        }
    }

    fn node(&mut self, zone: u64) -> Node {
        self.next_id += 1;
        let zones = (0..ZONES).map(|z| (format!("z{z}"), "r".into())).collect();
        let seed = self.rng.gen();
        Node {
            id: self.next_id,
            zone,
            balancer: LoadBalancer::new(&format!("z{zone}"), zones, Self::bounds(), seed),
            seen: 0,
            lag_ms: self.rng.gen_range(0..250),
            up_at: self.now,
            cut_until: 0,
            last_contact_at: self.now,
        }
    }

    fn add_workers(&mut self, count: u64, new: bool) {
        let mut put = Vec::new();
        for i in 0..count {
            let version = if new { "v2" } else { "v1" };
            let id = format!("{version}-{i}");
            let speed = [0.6, 1.0, 1.0, 1.4][(i / ZONES % 4) as usize];
            put.push(Worker {
                id: id.clone(),
                service: "s".into(),
                zone: format!("z{}", i % ZONES),
                slots: 6,
                version: version.into(),
                ..Default::default()
            });
            let worker = SimulatedWorker {
                zone: i % ZONES,
                new,
                started: self.now,
                speed,
                ..Default::default()
            };
            self.workers.insert(id, worker);
        }
        self.change(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        }));
    }

    fn begin(&mut self, target: &str, duration_ms: u64) {
        let change = RolloutChange {
            service: "s".into(),
            action: Action::Create as i32,
            who: "test".into(),
            create: Some(Create {
                target: target.into(),
                duration_ms,
            }),
            stages: rollout::stages(duration_ms, SHARE),
            previous_versions: vec!["v1".into()],
            ..Default::default()
        };
        match self.change(ChangeKind::Rollout(change)) {
            Outcome::RolloutRejected(refusal) => self.refused = Some(format!("{refusal:?}")),
            Outcome::Applied => {
                self.created_at = self.now;
                self.ends_at = self.now + duration_ms;
            }
            _ => {}
        }
    }

    fn operate(&mut self, action: Action) {
        let state = self.state();
        let p = &state.rollouts["s"];
        let change = RolloutChange {
            service: "s".into(),
            action: action as i32,
            expected: p.version,
            who: "test".into(),
            elapsed_ms: self.watchdog.elapsed(self.now, p),
            ..Default::default()
        };
        let conditions = self.conditions(&state);
        if action == Action::Promote && Watchdog::check_gate(self.now, &conditions).is_err() {
            self.refused = Some("gate".into());
            return;
        }
        if let Outcome::RolloutRejected(refusal) = self.change(ChangeKind::Rollout(change)) {
            self.refused = Some(format!("{refusal:?}"));
        }
    }

    fn conditions(&mut self, state: &ControlState) -> Conditions {
        let is_available = |w: &&Arc<Worker>| !state.evacuated.contains_key(&w.zone);
        let p = state.rollouts.get("s");
        let count_of = |cohort: Cohort| {
            let workers = state.workers.values().filter(is_available);
            workers
                .filter(|w| p.is_some_and(|p| p.cohort(&w.version) == cohort))
                .count()
        };
        let newest = self.log.len() - 1;
        let is_behind = |n: &Node| n.up_at <= self.now && n.cut_until <= self.now && n.seen < newest;
        Conditions {
            ready: count_of(Cohort::New),
            old: count_of(Cohort::Old),
            is_behind: self.nodes.iter().any(is_behind),
            keys_remain: false,
            reported_at: self.reported_at,
            level: self.emergency.clone().check(),
            kill_switch: state.kill_switch.as_ref().is_some_and(|k| k.on),
        }
    }

    fn run_watchdog(&mut self) {
        let now = self.now;
        let state = self.state();
        self.watchdog.follow(now, &state.rollouts);
        self.standby.follow(now, &state.rollouts);
        if now < self.leader_from || now < self.core_cut_until {
            self.unsettled_at = now;
            return;
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|r| r.0 <= now);
        self.reports = rest;
        for (_, samples, served, failed) in due {
            self.reported_at = now;
            self.emergency.add(served, failed);
            self.watchdog.add(&samples, name_hash);
        }
        if now % 260 >= STEP_MS {
            return;
        }
        let level = self.emergency.check();
        for p in state.rollouts.values().filter(|p| p.is_active()) {
            let conditions = Conditions {
                level,
                ..self.conditions(&state)
            };
            if let Some(change) = self.watchdog.decide(now, p, &conditions) {
                println!("  {} {}", now - self.created_at, change.why);
                self.change(ChangeKind::Rollout(change));
            }
        }
        let is_completed = |p: &Arc<rollout::Rollout>| p.state_now() == State::Completed;
        if self.ended_at == 0 && self.state().rollouts.values().any(is_completed) {
            self.ended_at = now;
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|f| f.at <= now);
        self.in_flight = rest;
        for f in due {
            let worker = self.workers.get_mut(&f.worker);
            let new = worker.as_ref().is_some_and(|w| w.new);
            if let Some(w) = worker {
                w.inflight = w.inflight.saturating_sub(1);
            }
            let is_bad = matches!(
                f.end,
                AttemptResult::Errored(_) | AttemptResult::Answered(900.0..)
            );
            if new && is_bad && self.kind != Kind::Good {
                self.bad_answers += 1;
                if self.bad_answers == 50 {
                    self.fiftieth_at = Some(now);
                }
            }
            let node = &mut self.nodes[f.node];
            if node.id == f.node_id {
                if let Some(label) = &f.label {
                    node.balancer.observe_sample(label, f.end);
                }
                node.balancer.observe(now, &f.worker, f.end);
            }
        }
        for i in 0..self.nodes.len() {
            self.serve(i);
        }
        if now % 500 < STEP_MS {
            for i in 0..self.nodes.len() {
                let delay = self.rng.gen_range(100..700);
                let node = &mut self.nodes[i];
                let samples = node.balancer.take_samples();
                let sums = node
                    .balancer
                    .take_observations()
                    .iter()
                    .filter(|observation| observation.worker.starts_with("v1"))
                    .fold((0, 0), |sum, observation| {
                        (sum.0 + observation.served, sum.1 + observation.failed)
                    });
                if node.up_at <= now && node.cut_until <= now && now >= self.core_cut_until {
                    self.reports.push((now + delay, samples, sums.0, sums.1));
                }
            }
        }
        self.run_watchdog();
    }

    #[allow(clippy::too_many_lines, reason = "all steps of one request in order")]
    fn serve(&mut self, i: usize) {
        let now = self.now;
        let count = self.nodes.len();
        let node = &mut self.nodes[i];
        if node.up_at > now {
            return;
        }
        let is_in_contact = node.cut_until <= now && now >= self.core_cut_until;
        if is_in_contact {
            node.balancer.set_last_contact(now);
            node.last_contact_at = now;
            let newest = self.log.partition_point(|(at, _)| at + node.lag_ms <= now).max(1) - 1;
            if node.seen < newest {
                node.seen = newest;
                node.balancer.set_state(now, self.log[newest].1.clone());
            }
        }
        node.balancer.set_peers(PeerInfo {
            locality: Locality {
                nodes: count,
                number: i,
                nodes_in_zone: count / ZONES as usize,
                number_in_zone: i / ZONES as usize,
            },
            own_id: node.id,
            round_trips: BTreeMap::new(),
        });
        let Some(config) = self.log[node.seen].1.configuration.clone() else {
            return;
        };
        let chance = self.rate * STEP_MS as f64 / 1000.0 / count as f64;
        if !self.rng.gen_bool(chance.min(1.0)) {
            return;
        }
        let path = if self.rng.gen_bool(0.25) { "/b/" } else { "/a/" };
        let Some(route) = config.route("h", path) else {
            return;
        };
        let mut tried: Vec<String> = Vec::new();
        for _ in 0..2 {
            let request = SelectionRequest {
                route,
                key: None,
                service: "s",
                tried: &tried,
                remaining_ms: 4000,
                zone: None,
            };
            let node = &mut self.nodes[i];
            let Selection::Worker(found) = node.balancer.choose(now, &request) else {
                return;
            };
            let is_in_progress = now >= self.created_at && now < self.ends_at && self.created_at > 0;
            let is_contact_settled = is_in_contact && now > self.unsettled_at + 4000;
            let Some(w) = self.workers.get_mut(&found.id) else {
                return;
            };
            self.all += u64::from(is_in_progress && tried.is_empty());
            if w.new {
                self.new += u64::from(is_in_progress);
                let is_overdue = self.fiftieth_at.is_some_and(|at| now > at + ROLLBACK_MS);
                self.late_sends += u64::from(is_overdue && is_contact_settled);
                let node = &self.nodes[i];
                let is_active = self.log[node.seen].1.rollouts.values().any(|p| p.is_active());
                let has_lost_core = now > node.last_contact_at + rollout::FALLBACK_MS;
                self.lost_sends += u64::from(is_active && has_lost_core);
            } else if self.ended_at > 0 && is_in_contact && now > self.ended_at + 300 {
                self.old_after_end += 1;
            }
            w.inflight += 1;
            let is_unreachable = self
                .unreachable_zone
                .is_some_and(|(zone, until)| w.zone == zone && now < until);
            let load = f64::from(w.inflight) / 6.0;
            let mut ms = 200.0 * self.rng.gen_range(0.6..1.6) / w.speed * (1.0 + (load - 1.0).max(0.0));
            let may_fail = w.new
                && match self.kind {
                    Kind::Good => false,
                    Kind::Errors | Kind::Slow => true,
                    Kind::Late(after) => now > w.started + after,
                    Kind::UnderLoad => w.inflight >= 2,
                    Kind::OneRoute => path == "/b/",
                };
            let mut end = None;
            if may_fail && self.rng.gen_bool(0.5) {
                if self.kind == Kind::Slow {
                    ms *= 8.0;
                } else {
                    end = Some(AttemptResult::Errored(ms));
                }
            }
            if is_unreachable {
                end = Some(AttemptResult::Failed);
                ms = 300.0;
            }
            self.in_flight.push(InFlight {
                at: now + ms as u64,
                node: i,
                node_id: self.nodes[i].id,
                worker: found.id.clone(),
                label: found.label,
                end: end.unwrap_or(AttemptResult::Answered(ms)),
            });
            // A failed request is tried once more, on the old version.
            if end.is_none() {
                return;
            }
            tried.push(found.id);
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Checks what must hold in every scenario.
    fn check(&self) {
        if self.kind != Kind::Good {
            let max_new = SHARE * self.all as f64 + SLACK;
            let new = self.new as f64;
            assert!(
                new <= max_new,
                "the new version got {new} of {} requests, {max_new:.0} allowed",
                self.all
            );
        }
        assert_eq!(
            self.late_sends, 0,
            "requests sent to a bad version after the time for the rollback"
        );
        assert_eq!(
            self.lost_sends, 0,
            "requests sent to the new version without contact to the core"
        );
        assert_eq!(
            self.old_after_end, 0,
            "requests sent to the old version after the rollout was completed"
        );
        let state = self.state();
        let restored = ControlState::from_image(state.image()).expect("the image is readable");
        assert_eq!(
            restored.rollouts, state.rollouts,
            "the rollouts differ after a snapshot"
        );
    }
}

fn number<T: std::str::FromStr>(word: Option<&&str>) -> T {
    word.and_then(|w| w.parse().ok())
        .expect("the argument is a number")
}

#[allow(clippy::too_many_lines, reason = "one arm per step")]
fn run_scenario(text: &str, seed: u64) {
    let mut fleet = Fleet::new(seed);
    let mut workers = 30;
    for line in text.lines() {
        let line = line.split('#').next().unwrap_or("").trim();
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some((step, arguments)) = words.split_first() else {
            continue;
        };
        match *step {
            "nodes" | "add-nodes" => fleet.add_nodes(number(arguments.first())),
            "workers" => {
                workers = number(arguments.first());
                fleet.add_workers(workers, false);
            }
            "rate" => fleet.rate = number(arguments.first()),
            "new-version" => {
                fleet.kind = match arguments[0] {
                    "good" => Kind::Good,
                    "errors" => Kind::Errors,
                    "slow" => Kind::Slow,
                    "late" => Kind::Late(number(arguments.get(1))),
                    "under-load" => Kind::UnderLoad,
                    "one-route" => Kind::OneRoute,
                    other => panic!("unknown kind: {other}"),
                }
            }
            "begin" => {
                fleet.begin("v2", number(arguments.first()));
                fleet.run(600);
                fleet.add_workers(workers, true);
            }
            "again" => fleet.begin("v2", number(arguments.first())),
            "begin-other" => fleet.begin("v3", number(arguments.first())),
            "run" => fleet.run(number(arguments.first())),
            "lose-leader" => {
                fleet.leader_from = fleet.now + 900;
                fleet.watchdog = std::mem::take(&mut fleet.standby);
                fleet.emergency = EmergencyTracker::default();
                fleet.reported_at = 0;
            }
            "core-cut" => fleet.core_cut_until = fleet.now + number::<u64>(arguments.first()),
            "cut" => {
                let (fraction, until) = (
                    number(arguments.first()),
                    fleet.now + number::<u64>(arguments.get(1)),
                );
                for i in 0..fleet.nodes.len() {
                    if fleet.rng.gen_bool(fraction) {
                        fleet.nodes[i].cut_until = until;
                    }
                }
            }
            "restart-nodes" => {
                let (fraction, down_ms) = (number(arguments.first()), number::<u64>(arguments.get(1)));
                for i in 0..fleet.nodes.len() {
                    if fleet.rng.gen_bool(fraction) {
                        let zone = fleet.nodes[i].zone;
                        fleet.nodes[i] = fleet.node(zone);
                        fleet.nodes[i].up_at = fleet.now + down_ms;
                    }
                }
            }
            "region-loss" => fleet.unreachable_zone = Some((1, fleet.now + number::<u64>(arguments.first()))),
            "change-configuration" => {
                for _ in 0..number::<u64>(arguments.first()) {
                    fleet.configure();
                    fleet.run(60);
                }
            }
            "evacuate" | "finish" => {
                let change = EvacuationChange {
                    zone: arguments[0].into(),
                    begin: *step == "evacuate",
                };
                fleet.change(ChangeKind::Evacuate(change));
            }
            "kill-switch" => {
                let switch = KillSwitch {
                    on: arguments[0] == "on",
                    ..Default::default()
                };
                fleet.change(ChangeKind::KillSwitch(switch));
            }
            "operator" => fleet.operate(Action::from_name(arguments[0]).expect("the argument is an action")),
            "expect" => {
                let state = fleet.state();
                let p = state.rollouts.get("s");
                let got = match arguments[0] {
                    "refused" => {
                        assert!(
                            fleet.refused.take().is_some(),
                            "`{line}`: the rollout was not refused"
                        );
                        continue;
                    }
                    "phase" => p.map_or("", |p| p.state_now().name()),
                    _ => p.map_or("", |p| p.state_now().protocol_name()),
                };
                let elapsed = fleet.now - fleet.created_at;
                assert_eq!(
                    Some(&got),
                    arguments.last(),
                    "`{line}` at {elapsed}, level {:?}",
                    {
                        let level: EmergencyLevel = fleet.emergency.clone().check();
                        level
                    }
                );
            }
            other => panic!("unknown step: {other}"),
        }
    }
    fleet.check();
}

#[test]
fn every_rollout_scenario_passes() {
    simulation::scenario::run_folder("rollout-scenarios", 10, 3, run_scenario);
}
