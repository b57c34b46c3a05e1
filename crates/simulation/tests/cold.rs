//! All nodes together keep the request rate of a worker in warm-up within its bound, under
//! arbitrary load, joins, restarts, changes of leader and replicas that lag behind.

use balancer::{AttemptResult, LoadBalancer, Locality, PeerInfo, Selection, SelectionRequest};
use config::{constants as c, settings::Bounds};
use control_state::{ControlState, KEY_SPACE};
use placement::{DiscoveryInput, ProxyNode, WarmupAdmission};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use protocol::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[{"Host":"h","Rules":[
      {"Name":"free","RouteType":"idempotent","Target":"300ms","Condition":{"PathPrefix":"/a/"},"Treatment":{"Service":"s","Timeout":"9s","AttemptLimit":2}},
      {"Name":"keyed","RouteType":"idempotent","Target":"300ms","Condition":{"PathPrefix":"/b/"},"Treatment":{"Service":"k","Timeout":"9s"}}]}],
    "Groups":[{"Name":"s","ConnectionLimit":500,"ColdPeriod":"3s","ColdRateS":RATE},
      {"Name":"k","Partitioned":true,"ConnectionLimit":500,"ColdPeriod":"3s","ColdRateS":RATE}]}"#;
/// Request rate that a worker in warm-up can serve, requests per second.
const RATE: &str = "3.0";
const LIST_LAG_MS: u64 = 800;
const STEP_MS: u64 = 20;
const ZONES: u64 = 3;

#[derive(Clone, Debug)]
enum Event {
    /// Workers of both services start in a zone, in warm-up; one of them takes over the keys.
    StartWorkers {
        zone: u64,
        count: usize,
    },
    /// A fraction of the nodes ends and is back after `down_ms`.
    MassRestart {
        fraction: f64,
        down_ms: u64,
    },
    ClientLoad {
        requests_per_s: f64,
    },
    /// A zone is evacuated for `for_ms`; shortly before the end its workers may return to warm-up.
    Evacuate {
        zone: u64,
        for_ms: u64,
    },
    NewLeader,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..ZONES, 1..6usize).prop_map(|(zone, count)| Event::StartWorkers { zone, count }),
        (0.1..1.0, 20..1500u64).prop_map(|(fraction, down_ms)| Event::MassRestart { fraction, down_ms }),
        (0.0..400.0).prop_map(|requests_per_s| Event::ClientLoad { requests_per_s }),
        (0..ZONES, 3000..5000u64).prop_map(|(zone, for_ms)| Event::Evacuate { zone, for_ms }),
        Just(Event::NewLeader),
    ]
}

struct Node {
    id: u64,
    zone: u64,
    balancer: LoadBalancer,
    seen: usize,
    /// Lag of the replica of the node, ms.
    lag_ms: u64,
    up_at: u64,
    keeps_id: bool,
}

struct Worker {
    row: protocol::Worker,
    cold_until: u64,
    /// Start of the warm-up, ms; the list shows it later.
    cold_from: u64,
    arrivals: Vec<u64>,
}

struct Simulation {
    now: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    workers: BTreeMap<String, Worker>,
    /// The control states, each with the time at which it was reached, ms.
    log: Vec<(u64, Arc<ControlState>)>,
    warmup: WarmupAdmission,
    bounds: Bounds,
    requests_per_s: f64,
    next_id: u64,
    answers: Vec<(u64, usize, u64, String)>,
    evacuation_ends: Vec<(u64, u64)>,
}

impl Simulation {
    fn new(seed: u64, nodes: u64, rate: &str) -> Simulation {
        let bounds = Bounds {
            cold_excess: 1.5,
            cold_slack: 6.0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            ..Default::default()
        };
        let mut simulation = Simulation {
            now: 1,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            workers: BTreeMap::new(),
            log: vec![(0, Arc::new(ControlState::default()))],
            warmup: WarmupAdmission::default(),
            bounds,
            requests_per_s: 100.0,
            next_id: 1,
            answers: Vec::new(),
            evacuation_ends: Vec::new(),
        };
        simulation.change(ChangeKind::Replace(ConfigurationCommand {
            body: CONFIG.replace("RATE", rate).into(),
            ..Default::default()
        }));
        for i in 0..nodes {
            let node = simulation.node(i % ZONES, i < 2 * ZONES);
            simulation.nodes.push(node);
        }
        for i in 0..ZONES * 4 {
            for service in ["s", "k"] {
                simulation.worker(&format!("{service}-old-{i}"), service, i % ZONES, 0);
            }
        }
        simulation.grant_keys("k-old-0");
        simulation
    }

    fn node(&mut self, zone: u64, keeps_id: bool) -> Node {
        self.next_id += 1;
        let zones = (0..ZONES).map(|z| (format!("z{z}"), "r".to_string())).collect();
        let seed = self.rng.gen();
        Node {
            id: self.next_id,
            zone,
            balancer: LoadBalancer::new(&format!("z{zone}"), zones, self.bounds.clone(), seed),
            seen: 0,
            lag_ms: self.rng.gen_range(0..1200),
            up_at: self.now,
            keeps_id,
        }
    }

    fn worker(&mut self, id: &str, service: &str, zone: u64, cold_ms: u64) {
        let row = protocol::Worker {
            id: id.into(),
            service: service.into(),
            zone: format!("z{zone}"),
            slots: 6,
            ..Default::default()
        };
        let worker = Worker {
            row,
            cold_from: self.now,
            cold_until: self.now + cold_ms,
            arrivals: Vec::new(),
        };
        self.workers.insert(id.into(), worker);
    }

    fn state(&self) -> Arc<ControlState> {
        self.log[self.log.len() - 1].1.clone()
    }

    fn change(&mut self, kind: ChangeKind) {
        let mut state = (*self.state()).clone();
        state.apply(state.index + 1, &Change::encode(kind));
        self.log.push((self.now, Arc::new(state)));
    }

    fn grant_keys(&mut self, worker: &str) {
        let put = vec![KeyLease {
            service: "k".into(),
            to: KEY_SPACE - 1,
            worker: worker.into(),
            fencing_token: self.log.len() as u64,
            ..Default::default()
        }];
        self.change(ChangeKind::KeyLeases(KeyLeaseChange { put }));
    }

    fn apply_event(&mut self, event: &Event) {
        match *event {
            Event::StartWorkers { zone, count } => {
                for i in 0..count {
                    for service in ["s", "k"] {
                        self.worker(&format!("{service}-{}-{i}", self.now), service, zone, 3000);
                    }
                }
                self.read_list();
                self.grant_keys(&format!("k-{}-0", self.now));
            }
            Event::MassRestart { fraction, down_ms } => {
                for i in 0..self.nodes.len() {
                    if self.rng.gen_bool(fraction) {
                        let (zone, keeps_id, id) =
                            (self.nodes[i].zone, self.nodes[i].keeps_id, self.nodes[i].id);
                        let mut node = self.node(zone, keeps_id);
                        node.up_at = self.now + down_ms;
                        if keeps_id {
                            node.id = id;
                        }
                        self.nodes[i] = node;
                    }
                }
                self.answers.clear();
            }
            Event::ClientLoad { requests_per_s } => self.requests_per_s = requests_per_s,
            Event::Evacuate { zone, for_ms } => {
                self.evacuate(zone, true);
                self.evacuation_ends.push((self.now + for_ms, zone));
            }
            Event::NewLeader => self.warmup.reset(),
        }
    }

    fn evacuate(&mut self, zone: u64, begin: bool) {
        let zone = format!("z{zone}");
        self.change(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
    }

    /// Lets the leader read the list of workers, which lags by `LIST_LAG_MS`.
    fn read_list(&mut self) {
        let now = self.now;
        let shown = now.saturating_sub(LIST_LAG_MS);
        let mut listed = BTreeMap::new();
        for (id, w) in &self.workers {
            let mut row = w.row.clone();
            if w.cold_from <= shown || !self.state().workers.contains_key(id) {
                row.warmup_ms = w.cold_until.saturating_sub(shown);
            }
            listed.insert(id.clone(), row);
        }
        let callers: Vec<ProxyNode> = self
            .nodes
            .iter()
            .filter(|n| n.up_at <= now)
            .map(|n| ProxyNode {
                id: n.id,
                zone: format!("z{}", n.zone),
            })
            .collect();
        let state = self.state();
        let input = DiscoveryInput {
            state: &state,
            as_of: state.index,
            nodes: &callers,
            bounds: &self.bounds,
            lag_ms: LIST_LAG_MS,
            pages: 1,
        };
        let change = self.warmup.compare(now, &listed, &input);
        if !placement::is_empty_change(&change) {
            self.change(ChangeKind::Workers(change));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let evacuation_ends: Vec<u64> = self
            .evacuation_ends
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, z)| *z)
            .collect();
        self.evacuation_ends.retain(|(at, _)| *at > now);
        for zone in evacuation_ends {
            let returns_to_warmup = self.rng.gen_bool(0.7);
            let before = self.rng.gen_range(0..500);
            let name = format!("z{zone}");
            for w in self
                .workers
                .values_mut()
                .filter(|w| returns_to_warmup && w.row.zone == name)
            {
                w.cold_from = now - before;
                w.cold_until = now - before + 3000;
            }
            self.evacuate(zone, false);
        }
        if now % 500 < STEP_MS {
            self.read_list();
        }
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.0 <= now);
        self.answers = rest;
        for (_, node, id, worker) in due.drain(..) {
            if self.nodes[node].id == id {
                self.nodes[node]
                    .balancer
                    .observe(now, &worker, AttemptResult::Answered(60.0));
            }
        }
        for i in 0..self.nodes.len() {
            self.serve(i);
        }
    }

    fn serve(&mut self, i: usize) {
        let now = self.now;
        let (log, node_count) = (&self.log, self.nodes.len());
        let node = &mut self.nodes[i];
        if node.up_at > now {
            return;
        }
        // The replica of a restarted node is as recent as that of its upstream.
        let newest = log.partition_point(|(at, _)| at + node.lag_ms <= now).max(1) - 1;
        if node.seen < newest {
            node.seen = newest;
            node.balancer.set_state(now, log[newest].1.clone());
        }
        // A node that has just started knows no peers.
        let knows_no_peers = now < node.up_at + 1000;
        let (node_count, in_zone) = if knows_no_peers {
            (1, 1)
        } else {
            (node_count, node_count / ZONES as usize)
        };
        node.balancer.set_peers(PeerInfo {
            locality: Locality {
                nodes: node_count,
                number: 0,
                nodes_in_zone: in_zone.max(1),
                number_in_zone: 0,
            },
            own_id: node.id,
            round_trips: BTreeMap::new(),
        });
        let Some(config) = log[node.seen].1.configuration.clone() else {
            return;
        };
        for (path, service) in [("/a/", "s"), ("/b/", "k")] {
            let chance = self.requests_per_s * STEP_MS as f64 / 1000.0 / node_count as f64;
            let mut left = chance.floor() as u32 + u32::from(self.rng.gen_bool(chance.fract()));
            while left > 0 {
                left -= 1;
                let Some(route) = config.route("h", path) else {
                    continue;
                };
                let tried: Vec<String> = Vec::new();
                let request = SelectionRequest {
                    route,
                    key: (service == "k").then(|| self.rng.gen_range(0..KEY_SPACE)),
                    service,
                    tried: &tried,
                    remaining_ms: 8000,
                    zone: None,
                };
                if let Selection::Worker(found) = node.balancer.choose(now, &request) {
                    let answer = (now + 60, i, node.id, found.id.clone());
                    self.answers.push(answer);
                    if let Some(w) = self.workers.get_mut(&found.id) {
                        if w.cold_from <= now && now < w.cold_until {
                            w.arrivals.push(now);
                        }
                    }
                }
            }
        }
    }

    /// Returns the largest number of requests that a worker in warm-up received in one second, and the
    /// number that all workers received in warm-up.
    fn max_arrivals(&self) -> (usize, usize) {
        let most = self.workers.values().map(|w| {
            let within = |t: &u64| w.arrivals.iter().filter(|a| **a >= *t && **a < t + 1000).count();
            w.arrivals.iter().map(within).max().unwrap_or(0)
        });
        let all = self.workers.values().map(|w| w.arrivals.len()).sum();
        (most.max().unwrap_or(0), all)
    }

    fn bound(&self) -> usize {
        (3.0 * self.bounds.cold_excess + self.bounds.cold_slack) as usize
    }
}

fn run_simulation(seed: u64, nodes: u64, rate: &str, events: &[(u64, Event)]) -> Simulation {
    let mut simulation = Simulation::new(seed, nodes, rate);
    for _ in 0..3000 / STEP_MS {
        simulation.step();
    }
    for (pause, event) in events {
        for _ in 0..pause / STEP_MS {
            simulation.step();
        }
        simulation.apply_event(event);
    }
    for _ in 0..5000 / STEP_MS {
        simulation.step();
    }
    simulation
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(48))]

    #[test]
    fn no_worker_in_warmup_exceeds_its_bound(
        seed in any::<u64>(),
        nodes in prop_oneof![1..20u64, 60..90u64, 200..320u64],
        events in prop::collection::vec((0..2500u64, event()), 1..8),
    ) {
        let simulation = run_simulation(seed, nodes, RATE, &events);
        let (most, _) = simulation.max_arrivals();
        prop_assert!(most <= simulation.bound(), "{most} of {}", simulation.bound());
    }
}

/// Workers of a zone start in warm-up, and a mass restart of nodes follows under high load.
fn mass_restart_under_load() -> Vec<(u64, Event)> {
    let mass_restart = Event::MassRestart {
        fraction: 0.6,
        down_ms: 100,
    };
    vec![
        (
            0,
            Event::ClientLoad {
                requests_per_s: 300.0,
            },
        ),
        (0, Event::StartWorkers { zone: 1, count: 5 }),
        (600, mass_restart),
    ]
}

#[test]
fn a_warmup_rate_that_is_too_high_is_found() {
    let simulation = run_simulation(1, 80, "40.0", &mass_restart_under_load());
    assert!(
        simulation.max_arrivals().0 > simulation.bound(),
        "{:?}",
        simulation.max_arrivals()
    );
    let simulation = run_simulation(1, 80, RATE, &mass_restart_under_load());
    assert!(
        simulation.max_arrivals().0 <= simulation.bound(),
        "{:?}",
        simulation.max_arrivals()
    );
}

#[test]
fn the_warmup_capacity_is_used() {
    let events = [
        (
            0,
            Event::ClientLoad {
                requests_per_s: 400.0,
            },
        ),
        (0, Event::StartWorkers { zone: 1, count: 5 }),
    ];
    let simulation = run_simulation(3, 45, RATE, &events);
    // Workers of both services can serve 3 requests per second for 3 s; of the partitioned service,
    // only the one with the keys.
    let capacity = (5.0 + 1.0) * 3.0 * 3.0 * c::WARMUP_PART;
    let used = simulation.max_arrivals().1 as f64 / capacity;
    println!("used: {used:.2}");
    assert!(used > 0.4, "{used:.2}");
}
