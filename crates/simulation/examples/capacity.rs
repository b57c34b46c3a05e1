//! Measures how the costs of each role grow with the size of the system, on real state machines
//! and a simulated transport, all in one process:
//!
//! ```text
//! cargo run --release -p pebblepond-simulation --example capacity
//! ```
//!
//! Each row is measured at several sizes; `power` is the exponent of a power law fitted to them,
//! `target` the linear extrapolation from the two largest sizes to the target size. Processor time
//! is that of this thread. A run takes about two minutes and a few hundred megabytes.

use balancer::{AttemptResult, LoadBalancer, Locality, PeerInfo, SelectionRequest};
use config::{constants as c, settings::Bounds, timing, Configuration, RouteKind};
use control_state::{ControlState, KEY_SPACE};
use gossip::{Member, MembershipProtocol, Message};
use key_ownership::{Action, GrantResult, OwnershipManager};
use placement::{DiscoveryInput, OutlierDetector, ProxyNode, WarmupAdmission};
use prost::Message as _;
use protocol::{
    name_hash, Change, ChangeKind, ConfigurationCommand, KeyLease, KeyLeaseChange, Worker, WorkerStats,
    WorkersChange,
};
use simulation::cluster::Cluster;
use std::collections::BTreeMap;
use std::sync::Arc;

const NODES: f64 = 6900.0;
const WORKERS: f64 = 51_000.0;
const ROUTES: f64 = 81_000.0;

/// Returns the processor time of this thread, ns.
fn processor_time_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|t| t.parse().ok()).unwrap_or(0)
}

/// Returns the mean processor time of one call, in microseconds, over a quarter of a second,
/// because the kernel reports processor time in steps of some milliseconds.
fn mean_microseconds(mut work: impl FnMut()) -> f64 {
    work();
    let (before, mut times) = (processor_time_ns(), 0u64);
    while processor_time_ns() - before < 250_000_000 {
        for _ in 0..8 {
            work();
        }
        times += 8;
    }
    (processor_time_ns() - before) as f64 / 1000.0 / times as f64
}

/// Returns the resident memory of this process, KB.
fn resident_kb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS"));
    let word = line.and_then(|l| l.split_whitespace().nth(1));
    word.and_then(|w| w.parse().ok()).unwrap_or(0.0)
}

/// Returns the memory of a control state, measured in separate processes, KB.
fn control_state_kb(workers: usize) -> f64 {
    let run = |workers: usize| {
        let exe = std::env::current_exe().expect("this program");
        let out = std::process::Command::new(exe).arg(workers.to_string()).output();
        let text = String::from_utf8(out.expect("it runs").stdout).expect("a number");
        text.trim().parse::<f64>().expect("a number")
    };
    run(workers) - run(30)
}

/// Pairs of size and measured value.
type Points = Vec<(f64, f64)>;

fn row(name: &str, unit: &str, target: f64, points: &[(f64, f64)]) {
    let n = points.len() as f64;
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.max(1e-9).ln())).collect();
    let (sx, sy) = logs.iter().fold((0.0, 0.0), |s, (x, y)| (s.0 + x, s.1 + y));
    let (mx, my) = (sx / n, sy / n);
    let num: f64 = logs.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let den: f64 = logs.iter().map(|(x, _)| (x - mx) * (x - mx)).sum();
    let (a, b) = (points[points.len() - 2], points[points.len() - 1]);
    let line = b.1 + (b.1 - a.1) / (b.0 - a.0) * (target - b.0);
    let power = b.1 * (target / b.0).powf(num / den);
    let seen: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
    println!(
        "| {name} | {unit} | {} | {:.2} | {target:.0}: {line:.0} by the line, {power:.0} by the power |",
        seen.join(", "),
        num / den
    );
}

/// Measures bytes per second, processor time and memory of the gossip membership per node: at the
/// start, in the steady state, and with a restart every two seconds.
fn membership() {
    let (mut start, mut calm, mut restarting, mut cpu, mut memory) = (vec![], vec![], vec![], vec![], vec![]);
    for nodes in [75usize, 150, 300, 600] {
        let before = resident_kb();
        let name = |i: usize| format!("10.{}.{}.{}:7540", i / 4096, i / 64 % 64, i % 64);
        let new_member = |i: usize, now: u64| {
            let me = Member {
                address: name(i),
                id: i as u64 + 1,
                incarnation: now + 1,
                name: format!("edge-zone-a-{i}"),
                zone: format!("zone-{}", i % 37),
                region: format!("region-{}", i % 16),
                client_address: name(i),
                has_disk: i < 9,
                ..Default::default()
            };
            MembershipProtocol::new(me, (0..3).map(name).collect(), timing::GOSSIP, now, i as u64)
        };
        let mut members: BTreeMap<String, MembershipProtocol> =
            (0..nodes).map(|i| (name(i), new_member(i, 0))).collect();
        let mut in_flight: Vec<(u64, String, String, Message)> = Vec::new();
        let mut lost = 0u64;
        let mut run = |from: u64, to: u64, restarts: bool| {
            let (mut bytes, mut used_ns) = (0usize, 0u64);
            for now in (from..to).step_by(50) {
                if restarts && now % 2000 == 0 {
                    let i = (now / 2000) as usize * 7 % nodes;
                    members.insert(name(i), new_member(i, now));
                }
                let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut in_flight)
                    .into_iter()
                    .partition(|(at, ..)| *at <= now);
                in_flight = rest;
                let started = processor_time_ns();
                for (_, from, to, message) in due {
                    if let Some(b) = members.get_mut(&to) {
                        b.receive(now, &from, message);
                    }
                }
                let mut out = Vec::new();
                for (name, b) in &mut members {
                    b.tick(now);
                    out.extend(
                        b.take_outgoing()
                            .into_iter()
                            .map(|e| (name.clone(), e.to, e.message)),
                    );
                }
                used_ns += processor_time_ns() - started;
                for (from, to, message) in out {
                    bytes += message.encoded_len() + 28;
                    lost += 1;
                    if !lost.is_multiple_of(100) {
                        in_flight.push((now + 40, from, to, message));
                    }
                }
            }
            let span = (to - from) as f64 / 1000.0 * nodes as f64;
            (bytes as f64 / span, used_ns as f64 / 1000.0 / span)
        };
        let size = nodes as f64;
        start.push((size, run(0, 5000, false).0));
        run(5000, 15_000, false);
        let (bytes, used_ns) = run(15_000, 25_000, false);
        calm.push((size, bytes));
        cpu.push((size, used_ns));
        restarting.push((size, run(25_000, 35_000, true).0));
        memory.push((size, (resident_kb() - before).max(0.0) / size));
    }
    row("membership, all start at once", "B/s a node", NODES, &start);
    row("membership, calm, 1% lost", "B/s a node", NODES, &calm);
    row(
        "membership, a restart every 2 s",
        "B/s a node",
        NODES,
        &restarting,
    );
    row("membership, calm", "us/s a node", NODES, &cpu);
    row("membership, table", "KB a node", NODES, &memory);
}

fn worker(i: usize, services: usize) -> Worker {
    Worker {
        id: format!("i-{i:010x}"),
        service: format!("service-{}", i % services),
        address: format!("10.{}.{}.{}:8080", i / 65_536, i / 256 % 256, i % 256),
        zone: format!("zone-{}", i / services % 37),
        slots: 6,
        version: "v1".into(),
        ..Default::default()
    }
}

/// Returns a control state of `workers` workers, with routes and key leases in the proportion of the
/// target size.
fn large_state(workers: usize) -> ControlState {
    let services = (workers / 27).max(1);
    let routes = (workers as f64 * ROUTES / WORKERS) as usize;
    let groups: Vec<String> = (0..services)
        .map(|s| {
            format!(
                r#"{{"Name":"service-{s}","ConnectionLimit":500,"ColdPeriod":"3s","ColdRateS":6.0,"Partitioned":{}}}"#,
                s % 3 == 0
            )
        })
        .collect();
    let points: Vec<String> = (0..routes)
        .map(|r| {
            let s = r % services;
            format!(r#"{{"Host":"h{r}.example","Rules":[{{"Name":"r{r}","RouteType":"idempotent","Target":"800ms","Condition":{{"PathPrefix":"/a{r}/"}},"Treatment":{{"Service":"service-{s}","Timeout":"2s","AttemptLimit":2}}}}]}}"#)
        })
        .collect();
    let body = format!(
        r#"{{"Version":1,"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[{}],"Groups":[{}]}}"#,
        points.join(","),
        groups.join(",")
    );
    let mut state = ControlState::default();
    let mut change = |kind| {
        let index = state.index + 1;
        state.apply(index, &Change::encode(kind));
    };
    change(ChangeKind::Replace(ConfigurationCommand {
        body: body.into_bytes(),
        ..Default::default()
    }));
    change(ChangeKind::Workers(WorkersChange {
        put: (0..workers).map(|i| worker(i, services)).collect(),
        ..Default::default()
    }));
    let mut put = Vec::new();
    let mut fence = 0;
    for s in (0..services).step_by(3) {
        let held: Vec<usize> = (0..workers).filter(|i| i % services == s).collect();
        let keys_per_worker = KEY_SPACE / held.len() as u32;
        for (n, i) in held.iter().enumerate() {
            fence += 1;
            let from = n as u32 * keys_per_worker;
            put.push(KeyLease {
                service: format!("service-{s}"),
                from,
                to: if n + 1 == held.len() {
                    KEY_SPACE - 1
                } else {
                    from + keys_per_worker - 1
                },
                worker: worker(*i, services).id,
                fencing_token: fence,
                ..Default::default()
            });
        }
    }
    change(ChangeKind::KeyLeases(KeyLeaseChange { put }));
    state
}

/// Measures the costs of the control state replica on each node, and of the duties of the leader.
#[allow(clippy::too_many_lines, reason = "a sequence of measurements")]
fn control_state() {
    let mut rows: BTreeMap<&str, (&str, Points)> = BTreeMap::new();
    for workers in [500usize, 1000, 2000, 4000, 8000] {
        let size = workers as f64;
        let mut note = |name, unit, value| rows.entry(name).or_insert((unit, vec![])).1.push((size, value));
        note(
            "copy of the control state",
            "KB a node",
            control_state_kb(workers),
        );
        let state = large_state(workers);
        note("copy, packed", "KB", state.to_snapshot().len() as f64 / 1024.0);
        let services = (workers / 27).max(1);
        let mut held = Arc::new(state.clone());
        let mut draining = false;
        let mut update_one_worker = |held: &mut Arc<ControlState>| {
            draining = !draining;
            let row = Worker {
                draining,
                ..worker(7, services)
            };
            let change = WorkersChange {
                put: vec![row],
                ..Default::default()
            };
            let mut next = (**held).clone();
            next.apply(next.index + 1, &Change::encode(ChangeKind::Workers(change)));
            *held = Arc::new(next);
        };
        note(
            "one worker changes: applied and published",
            "us a node",
            mean_microseconds(|| update_one_worker(&mut held)),
        );
        let body = state.configuration_body.to_vec();
        note(
            "one route changes: the configuration is read whole",
            "us a node",
            mean_microseconds(|| drop(Configuration::parse(&body))),
        );
        note("configuration", "KB a change", body.len() as f64 / 1024.0);
        // A proxy: the choice of a worker, and the update of one worker.
        let zones = (0..37)
            .map(|z| (format!("zone-{z}"), format!("region-{}", z % 16)))
            .collect();
        let mut balancer = LoadBalancer::new("zone-1", zones, Bounds::default(), 1);
        balancer.set_state(1, held.clone());
        balancer.set_peers(PeerInfo {
            locality: Locality {
                nodes: 6900,
                number: 3,
                nodes_in_zone: 186,
                number_in_zone: 3,
            },
            own_id: 1,
            round_trips: BTreeMap::new(),
        });
        let config = state
            .configuration
            .clone()
            .expect("the state has a configuration");
        let route = config
            .route("h1.example", "/a1/x")
            .expect("the configuration has the route")
            .clone();
        assert_eq!(route.kind, RouteKind::Idempotent);
        let mut now = 10_000;
        note(
            "a request: the choice of a worker",
            "us",
            mean_microseconds(|| {
                now += 1;
                let request = SelectionRequest {
                    route: &route,
                    key: None,
                    service: "service-1",
                    tried: &[],
                    remaining_ms: 2000,
                    zone: None,
                };
                if let balancer::Selection::Worker(w) = balancer.choose(now, &request) {
                    balancer.observe(now, &w.id, AttemptResult::Answered(90.0));
                }
            }),
        );
        note(
            "one worker changes: an edge takes it in",
            "us a node",
            mean_microseconds(|| {
                update_one_worker(&mut held);
                balancer.set_state(now, held.clone());
            }),
        );
        // The leader's duties.
        let callers: Vec<ProxyNode> = (0..NODES as u64)
            .map(|id| ProxyNode {
                id,
                zone: format!("zone-{}", id % 37),
            })
            .collect();
        let listed: BTreeMap<String, Worker> = state
            .workers
            .iter()
            .map(|(id, w)| (id.clone(), (**w).clone()))
            .collect();
        let bounds = Bounds::default();
        let mut warmup = WarmupAdmission::default();
        note(
            "leader: the list against the state",
            "us a look",
            mean_microseconds(|| {
                let input = DiscoveryInput {
                    state: &state,
                    as_of: state.index,
                    nodes: &callers,
                    bounds: &bounds,
                    lag_ms: 800,
                    pages: 1,
                };
                warmup.compare(now, &listed, &input);
            }),
        );
        let mut outlier_detector = OutlierDetector::default();
        outlier_detector.reset(0);
        let seen: Vec<WorkerStats> = state
            .workers
            .keys()
            .map(|id| WorkerStats {
                worker: name_hash(id),
                response_ms: 90.0,
                served: 5,
                failed: 0,
            })
            .collect();
        note(
            "leader: who fails",
            "us a look",
            mean_microseconds(|| {
                outlier_detector.record(&seen);
                outlier_detector.evaluate(20_000, &state);
            }),
        );
        let mut ownership = OwnershipManager::new(10_000, 300);
        ownership.begin(now, &state);
        note(
            "leader: renewals of keys",
            "us a look",
            mean_microseconds(|| {
                now += c::KEY_CHECK_INTERVAL_MS;
                for act in ownership.tick(now, &state) {
                    match act {
                        Action::Grant(g) => ownership.on_grant_result(now, &g, GrantResult::Accepted),
                        Action::Log(_) => ownership.on_logged(),
                        Action::Release(_) => {}
                    }
                }
            }),
        );
        note(
            "repair: digests of a copy",
            "us",
            mean_microseconds(|| drop(anti_entropy::digests(&state))),
        );
    }
    for (name, (unit, points)) in rows {
        row(name, unit, WORKERS, &points);
    }
}

/// Measures the Raft bytes that the busiest voter and the busiest learner send.
fn raft() {
    let (mut calm, mut changing, mut follower) = (vec![], vec![], vec![]);
    for nodes in [75usize, 150, 300] {
        let mut cluster = Cluster::new(1);
        for (i, name) in ["a", "b", "c", "d", "e", "f", "g", "h", "i"].iter().enumerate() {
            cluster.add(name, &format!("r{}", i % 3 + 1), true, true);
            if i == 0 {
                cluster.begin(name);
            }
        }
        for i in 0..nodes - 9 {
            cluster.add(&format!("o{i}"), &format!("r{}", i % 3 + 1), false, true);
        }
        cluster.run(6000);
        let mut version = 0;
        let mut command = |cluster: &mut Cluster| {
            let body = simulation::configuration::configuration(version + 1);
            let command = ConfigurationCommand {
                base: version,
                body,
                ..Default::default()
            };
            cluster.command(&format!("to-{version}"), command);
            version += 1;
        };
        command(&mut cluster);
        cluster.run(1500);
        cluster.measure();
        cluster.run(4000);
        let size = nodes as f64;
        calm.push((size, cluster.max_send_rate(true) as f64));
        follower.push((size, cluster.max_send_rate(false) as f64));
        cluster.measure();
        for _ in 0..10 {
            command(&mut cluster);
            cluster.run(400);
        }
        changing.push((size, cluster.max_send_rate(true) as f64));
    }
    row("voter, calm, nine voters", "B/s", NODES, &calm);
    row("voter, 2.5 changes a second", "B/s", NODES, &changing);
    row("follower, calm", "B/s", NODES, &follower);
}

fn main() {
    if let Some(workers) = std::env::args().nth(1).and_then(|a| a.parse().ok()) {
        let state = large_state(workers);
        println!("{}", resident_kb());
        drop(state);
        return;
    }
    println!("| what | unit | measured at | power | at the target |");
    println!("| --- | --- | --- | --- | --- |");
    membership();
    control_state();
    raft();
    println!("\npeak resident memory {:.0} MB", resident_kb() / 1024.0);
}
